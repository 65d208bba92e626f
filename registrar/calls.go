package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

const (
	recordPrefix         = "Instances/"
	heartbeatTimeout     = 300 * time.Millisecond
	relayTimeout         = 2 * time.Second
	registerTimeout      = 3 * time.Second
	instanceListTimeout  = time.Second
	maxInstanceListBytes = 4 << 20
)

func (r *Registrar) client() *http.Client {
	if r.HTTP == nil {
		return http.DefaultClient
	}
	return r.HTTP
}

func (r *Registrar) peerClient(address string) messenger.Membership {
	return messenger.NewMembershipProtobufClient("http://"+address, r.client())
}

func (r *Registrar) countTraffic(heartbeats ...*messenger.BeatMessage) {
	for _, heartbeat := range heartbeats {
		r.messages.Add(1)
		r.bytes.Add(uint64(proto.Size(heartbeat)))
	}
}

func (r *Registrar) sendHeartbeat(ctx context.Context, cmd HeartbeatCmd) Msg {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := r.peerClient(cmd.Address).Beat(ctx, cmd.Heartbeat)
	if err != nil {
		return HeartbeatFailedMsg{To: cmd.To, Sent: sent}
	}
	r.countTraffic(cmd.Heartbeat, reply)
	return HeartbeatReplyMsg{To: cmd.To, Heartbeat: reply}
}

// register requests a lease and writes the record under it. The key is the
// instance's own, so after a lost answer it reads the record back and overwrites
// whatever the key holds.
func (r *Registrar) register(ctx context.Context, record hemlocktally.Instance) Msg {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	sent := time.Now()
	lease, err := r.Store.Grant(ctx, r.ttl())
	if err != nil {
		return RegisterFailedMsg{}
	}
	for ctx.Err() == nil {
		stored, err := r.readRecord(ctx, record.ID)
		if err != nil {
			return RegisterFailedMsg{}
		}
		if stored.record.Incarnation > record.Incarnation {
			return RegisterFailedMsg{ExistingIncarnation: stored.record.Incarnation}
		}
		if stored.entry.Lease == lease.ID {
			r.Log.Log(logger.EventRegistered, logger.Fields{"Instance": record.ID, "Incarnation": record.Incarnation, "Lease": lease.ID})
			return RegisteredMsg{Lease: lease.ID, Sent: sent, Incarnation: record.Incarnation}
		}
		if err := r.writeRecord(ctx, record, stored.entry.Version, lease.ID); err != nil && !needsReadBack(err) {
			return RegisterFailedMsg{}
		}
	}
	return RegisterFailedMsg{}
}

// storedRecord is a record with its store entry; both are zero if there is none.
type storedRecord struct {
	record hemlocktally.Instance
	entry  hemlocktally.Entry
}

func (r *Registrar) readRecord(ctx context.Context, id hemlocktally.InstanceID) (storedRecord, error) {
	entry, err := r.Store.Get(ctx, recordPrefix+string(id))
	var absent *hemlocktally.NotFoundError
	if errors.As(err, &absent) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	stored := storedRecord{entry: entry}
	// An invalid record is overwritten.
	_ = json.Unmarshal(entry.Value, &stored.record)
	return stored, nil
}

func (r *Registrar) writeRecord(ctx context.Context, record hemlocktally.Instance, version hemlocktally.StoreVersion, lease string) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = r.Store.CompareAndSwap(ctx, hemlocktally.Entry{Key: recordPrefix + string(record.ID), Value: value, Version: version, Lease: lease})
	return err
}

// needsReadBack reports whether the outcome of a write must be read back: its
// answer was lost, or another write came first.
func needsReadBack(err error) bool {
	var failed *hemlocktally.StoreError
	var conflict *hemlocktally.ConflictError
	return errors.As(err, &failed) && failed.Unknown || errors.As(err, &conflict)
}

func (r *Registrar) ttl() time.Duration {
	if r.LeaseTTL <= 0 {
		return DefaultLeaseTTL
	}
	return r.LeaseTTL
}

// renew renews the lease in the store.
func (r *Registrar) renew(ctx context.Context, lease string) RenewedMsg {
	sent := time.Now()
	err := r.Store.Renew(ctx, lease)
	msg := RenewedMsg{Lease: lease, Sent: sent, Result: RenewDone}
	var absent *hemlocktally.NotFoundError
	switch {
	case errors.As(err, &absent):
		msg.Result = RenewLapsed
	case err != nil:
		msg.Result = RenewFailed
	}
	return msg
}

// relay asks a peer to renew the lease in the store.
func (r *Registrar) relay(ctx context.Context, cmd RelayCmd) Msg {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	msg := RenewedMsg{Lease: cmd.Lease, Sent: time.Now(), Result: RenewFailed, Peer: cmd.Peer}
	response, err := r.peerClient(cmd.Address).Relay(ctx, &messenger.RelayRequest{Lease: cmd.Lease, Instance: string(r.Self.ID)})
	switch {
	case err == nil && response.GetRenewed():
		msg.Result = RenewDone
		r.Log.Log(logger.EventLeaseRelayed, logger.Fields{"Instance": r.Self.ID, "Peer": cmd.Peer})
	case err == nil && response.GetLapsed():
		msg.Result = RenewLapsed
	}
	return msg
}

func (r *Registrar) listRecords(ctx context.Context) {
	entries, err := r.Store.List(ctx, recordPrefix)
	if err != nil {
		r.send(StoreFailedMsg{})
		return
	}
	r.send(RecordsMsg{Records: decodeRecords(entries)})
}

func decodeRecords(entries []hemlocktally.Entry) []hemlocktally.Instance {
	records := make([]hemlocktally.Instance, 0, len(entries))
	for _, entry := range entries {
		var record hemlocktally.Instance
		if json.Unmarshal(entry.Value, &record) == nil {
			records = append(records, record)
		}
	}
	return records
}

// listedInstance is one item of the platform's list. Items of this system's
// instances have no service; their address is the one for peers.
type listedInstance struct {
	Service string
	Address string
	Leaving bool
}

// listInstances reads the platform's list of instances.
func (r *Registrar) listInstances(ctx context.Context) {
	if r.InstanceList == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, instanceListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.InstanceList+"/instances", http.NoBody)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var instances []listedInstance
	if json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxInstanceListBytes)).Decode(&instances) != nil {
		return
	}
	var msg AddressesMsg
	for _, instance := range instances {
		if instance.Service == "" && !instance.Leaving {
			msg.Addresses = append(msg.Addresses, instance.Address)
		}
	}
	r.send(msg)
}
