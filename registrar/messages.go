package registrar

import (
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// TickMsg is sent every tick, with what the instance reports of itself.
type TickMsg struct {
	Revision hemlocktally.Revision // Revision is the configuration revision that the instance acts on.
	Out      bool                  // Out is set while operators have taken the instance or its zone out of service.
	Starting bool                  // Starting is set while the instance has no configuration yet.
}

// HeartbeatMsg is a heartbeat from a peer. Its commands end with the ReplyCmd that answers it.
type HeartbeatMsg struct {
	Heartbeat *messenger.BeatMessage
}

// HeartbeatReplyMsg is the reply to a heartbeat that this instance sent.
type HeartbeatReplyMsg struct {
	To        hemlocktally.InstanceID // To is empty where only the address was known.
	Heartbeat *messenger.BeatMessage
}

// HeartbeatFailedMsg reports that a heartbeat got no reply.
type HeartbeatFailedMsg struct {
	To   hemlocktally.InstanceID
	Sent time.Time
}

// RecordsMsg holds all instance records of the store.
type RecordsMsg struct {
	Records []hemlocktally.Instance
}

// StoreFailedMsg reports that the store did not answer a read of the records.
type StoreFailedMsg struct{}

// RegisteredMsg reports that the instance's record is in the store.
type RegisteredMsg struct {
	Lease       string
	Sent        time.Time // Sent is the time before the lease was requested.
	Incarnation string
}

// RegisterFailedMsg reports that the record could not be written.
type RegisterFailedMsg struct {
	ExistingIncarnation string // ExistingIncarnation is the newer incarnation that the store holds under the same ID, if that was the cause.
}

// RenewResult is the outcome of an attempt to renew the lease.
type RenewResult string

// The outcomes of a renewal. A lease that Lapsed in the store is never renewed.
const (
	RenewDone   RenewResult = "Done"
	RenewLapsed RenewResult = "Lapsed"
	RenewFailed RenewResult = "Failed"
)

// RenewedMsg is the result of a renewal, sent to the store or relayed by a peer.
type RenewedMsg struct {
	Lease  string
	Sent   time.Time // Sent is the time before the renewal was sent.
	Result RenewResult
	Peer   hemlocktally.InstanceID // Peer is set where a peer relayed the renewal.
}

// AddressesMsg holds addresses of peers from the platform's list, which lags.
type AddressesMsg struct {
	Addresses []string
}

// LeaveMsg starts a planned stop.
type LeaveMsg struct{}

// DepartMsg ends a planned stop: the instance no longer serves.
type DepartMsg struct{}

// Msg is one of the messages above.
type Msg any

// HeartbeatCmd sends a heartbeat.
type HeartbeatCmd struct {
	To        hemlocktally.InstanceID // To is empty where only the address is known.
	Address   string
	Heartbeat *messenger.BeatMessage
}

// ReplyCmd answers the heartbeat of the HeartbeatMsg that was applied.
type ReplyCmd struct {
	Heartbeat *messenger.BeatMessage
}

// RegisterCmd requests a lease from the store and writes the instance's record under it.
type RegisterCmd struct {
	Record hemlocktally.Instance
}

// RenewCmd renews the lease in the store.
type RenewCmd struct {
	Lease string
}

// RelayCmd asks a peer to renew the lease in the store.
type RelayCmd struct {
	Lease   string
	Peer    hemlocktally.InstanceID
	Address string
}

// ListRecordsCmd reads all instance records from the store once.
type ListRecordsCmd struct{}

// ListInstancesCmd reads the platform's list of instances.
type ListInstancesCmd struct{}

// StateChangedCmd logs that a member changed its state.
type StateChangedCmd struct {
	Member   hemlocktally.Instance
	From, To hemlocktally.InstanceState
	Cause    string
}

// Cmd is one of the commands above.
type Cmd any
