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
	recordPrefix    = "Instances/"
	beatTimeout     = 300 * time.Millisecond
	relayTimeout    = 2 * time.Second
	registerTimeout = 3 * time.Second
	hintTimeout     = time.Second
	maxHintBytes    = 4 << 20
)

func (r *Registrar) client() *http.Client {
	if r.HTTP == nil {
		return http.DefaultClient
	}
	return r.HTTP
}

func (r *Registrar) peer(address string) messenger.Membership {
	return messenger.NewMembershipProtobufClient("http://"+address, r.client())
}

func (r *Registrar) count(beats ...*messenger.BeatMessage) {
	for _, beat := range beats {
		r.messages.Add(1)
		r.bytes.Add(uint64(proto.Size(beat)))
	}
}

// beat sends one heartbeat.
func (r *Registrar) beat(ctx context.Context, cmd BeatCmd) Msg {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := r.peer(cmd.Address).Beat(ctx, cmd.Beat)
	if err != nil {
		return SilenceMsg{To: cmd.To, Sent: sent}
	}
	r.count(cmd.Beat, answer)
	return AnswerMsg{To: cmd.To, Beat: answer}
}

// register asks for a lease and writes the record under it. The key is the
// instance's own, so that an answer that was lost is made up for by reading the
// record back and writing it over whatever stands there.
func (r *Registrar) register(ctx context.Context, record hemlocktally.Instance) Msg {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	sent := time.Now()
	lease, err := r.Store.Grant(ctx, r.ttl())
	if err != nil {
		return RegisterFailedMsg{}
	}
	for ctx.Err() == nil {
		present, err := r.record(ctx, record.ID)
		if err != nil {
			return RegisterFailedMsg{}
		}
		if present.record.Incarnation > record.Incarnation {
			return RegisterFailedMsg{Above: present.record.Incarnation}
		}
		if present.entry.Lease == lease.ID {
			r.Log.Log(logger.EventRegistered, logger.Fields{"Instance": record.ID, "Incarnation": record.Incarnation, "Lease": lease.ID})
			return RegisteredMsg{Lease: lease.ID, Sent: sent, Incarnation: record.Incarnation}
		}
		if err := r.write(ctx, record, present.entry.Version, lease.ID); err != nil && !isUncertain(err) {
			return RegisterFailedMsg{}
		}
	}
	return RegisterFailedMsg{}
}

// storedRecord is a record with its entry; both are zero where there is none.
type storedRecord struct {
	record hemlocktally.Instance
	entry  hemlocktally.Entry
}

func (r *Registrar) record(ctx context.Context, id hemlocktally.InstanceID) (storedRecord, error) {
	entry, err := r.Store.Get(ctx, recordPrefix+string(id))
	var absent *hemlocktally.AbsentError
	if errors.As(err, &absent) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	found := storedRecord{entry: entry}
	// A record that can't be read is written over.
	_ = json.Unmarshal(entry.Value, &found.record)
	return found, nil
}

func (r *Registrar) write(ctx context.Context, record hemlocktally.Instance, version hemlocktally.StoreVersion, lease string) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = r.Store.Swap(ctx, hemlocktally.Entry{Key: recordPrefix + string(record.ID), Value: value, Version: version, Lease: lease})
	return err
}

// isUncertain reports whether reading back tells more: an answer was lost, or
// another write came between.
func isUncertain(err error) bool {
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

// renew renews the lease at the store.
func (r *Registrar) renew(ctx context.Context, lease string) RenewedMsg {
	sent := time.Now()
	err := r.Store.Renew(ctx, lease)
	msg := RenewedMsg{Lease: lease, Sent: sent, Result: RenewDone}
	var absent *hemlocktally.AbsentError
	switch {
	case errors.As(err, &absent):
		msg.Result = RenewLapsed
	case err != nil:
		msg.Result = RenewFailed
	}
	return msg
}

// relay asks a peer to renew the lease.
func (r *Registrar) relay(ctx context.Context, cmd RelayCmd) Msg {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	msg := RenewedMsg{Lease: cmd.Lease, Sent: time.Now(), Result: RenewFailed, Peer: cmd.Peer}
	answer, err := r.peer(cmd.Address).Relay(ctx, &messenger.RelayRequest{Lease: cmd.Lease, Instance: string(r.Self.ID)})
	switch {
	case err == nil && answer.GetRenewed():
		msg.Result = RenewDone
		r.Log.Log(logger.EventLeaseRelayed, logger.Fields{"Instance": r.Self.ID, "Peer": cmd.Peer})
	case err == nil && answer.GetLapsed():
		msg.Result = RenewLapsed
	}
	return msg
}

func (r *Registrar) list(ctx context.Context) {
	entries, err := r.Store.List(ctx, recordPrefix)
	if err != nil {
		r.send(StoreLostMsg{})
		return
	}
	r.send(RecordsMsg{Records: recordsOf(entries)})
}

func recordsOf(entries []hemlocktally.Entry) []hemlocktally.Instance {
	records := make([]hemlocktally.Instance, 0, len(entries))
	for _, entry := range entries {
		var record hemlocktally.Instance
		if json.Unmarshal(entry.Value, &record) == nil {
			records = append(records, record)
		}
	}
	return records
}

// listedInstance is one line of the platform's list. Lines of entry instances
// name no service and hold the address for peers.
type listedInstance struct {
	Service string
	Address string
	Leaving bool
}

// hints reads the platform's list of instances.
func (r *Registrar) hints(ctx context.Context) {
	if r.InstanceList == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
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
	var lines []listedInstance
	if json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxHintBytes)).Decode(&lines) != nil {
		return
	}
	var msg HintsMsg
	for _, line := range lines {
		if line.Service == "" && !line.Leaving {
			msg.Addresses = append(msg.Addresses, line.Address)
		}
	}
	r.send(msg)
}
