package registrar

import (
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// TickMsg lets time pass. It brings what the instance reports of itself.
type TickMsg struct {
	Revision hemlocktally.Revision // Revision is the configuration that the instance acts on.
	Out      bool                  // Out is set while operators have the instance or its zone out.
	Starting bool                  // Starting is set while the instance has no configuration yet.
}

// BeatMsg is a heartbeat from a peer, which is answered with a ReplyCmd.
type BeatMsg struct {
	Beat *messenger.BeatMessage
}

// AnswerMsg is the answer to a heartbeat that was sent to a member.
type AnswerMsg struct {
	To   hemlocktally.InstanceID // To is empty where only the address was known.
	Beat *messenger.BeatMessage
}

// SilenceMsg says that a heartbeat had no answer.
type SilenceMsg struct {
	To   hemlocktally.InstanceID
	Sent time.Time
}

// RecordsMsg brings all instance records that the store holds.
type RecordsMsg struct {
	Records []hemlocktally.Instance
}

// StoreLostMsg says that the store did not answer a call for membership.
type StoreLostMsg struct{}

// RegisteredMsg says that the instance's record stands in the store.
type RegisteredMsg struct {
	Lease       string
	Sent        time.Time // Sent is the time before the lease was asked for.
	Incarnation string
}

// RegisterFailedMsg says that the record could not be written.
type RegisterFailedMsg struct {
	Above string // Above is an incarnation under the same ID that stands in the store, if that was the cause.
}

// RenewResult is how an attempt to renew the lease ended.
type RenewResult string

// The results of a renewal. A lease that Lapsed in the store is never renewed.
const (
	RenewDone   RenewResult = "Done"
	RenewLapsed RenewResult = "Lapsed"
	RenewFailed RenewResult = "Failed"
)

// RenewedMsg is the end of a renewal, by the store or by a peer that relayed it.
type RenewedMsg struct {
	Lease  string
	Sent   time.Time // Sent is the time before the renewal was sent.
	Result RenewResult
	Peer   hemlocktally.InstanceID // Peer is set where it was relayed.
}

// HintsMsg brings addresses of peers from the platform's lagging list.
type HintsMsg struct {
	Addresses []string
}

// LeaveMsg begins a planned stop.
type LeaveMsg struct{}

// DepartMsg ends a planned stop: the instance serves nothing any more.
type DepartMsg struct{}

// Msg is one of the messages above.
type Msg any

// BeatCmd sends a heartbeat.
type BeatCmd struct {
	To      hemlocktally.InstanceID // To is empty where only the address is known.
	Address string
	Beat    *messenger.BeatMessage
}

// ReplyCmd answers the heartbeat that the step was about.
type ReplyCmd struct {
	Beat *messenger.BeatMessage
}

// RegisterCmd asks the store for a lease and writes the instance's record.
type RegisterCmd struct {
	Record hemlocktally.Instance
}

// RenewCmd renews the lease at the store.
type RenewCmd struct {
	Lease string
}

// RelayCmd asks a peer to renew the lease.
type RelayCmd struct {
	Lease   string
	Peer    hemlocktally.InstanceID
	Address string
}

// ListCmd reads all instance records once.
type ListCmd struct{}

// HintsCmd reads the platform's list of instances.
type HintsCmd struct{}

// ChangedCmd says that a member changed its state.
type ChangedCmd struct {
	Member   hemlocktally.Instance
	From, To hemlocktally.InstanceState
	Cause    string
}

// Cmd is one of the commands above.
type Cmd any
