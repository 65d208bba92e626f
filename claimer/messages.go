package claimer

import (
	"time"

	"hemlocktally"
)

// Msg is an input of State.Update.
type Msg interface{ isMsg() }

// RequestID identifies a request that waits for an answer of the State. It is unique
// within one State.
type RequestID uint64

// BeginMsg requests permission to run a call under a key.
type BeginMsg struct {
	RequestID RequestID
	Request   hemlocktally.ClaimRequest
	WaitUntil time.Time // WaitUntil is when the request must be answered, even if an earlier call still runs.
}

// FinishMsg reports the outcome of a call.
type FinishMsg struct {
	RequestID RequestID
	Call      hemlocktally.CallID
	Key       KeyID
	Digest    []byte
	Outcome   hemlocktally.Outcome
	Kept      *hemlocktally.StoredResponse
}

// CancelMsg says that nobody waits for the answer to a request any more.
type CancelMsg struct{ RequestID RequestID }

// LeaseMsg carries the instance's current lease. An empty ID means that it has none.
type LeaseMsg struct {
	ID  string
	End time.Time // End is a monotonic time, with the clock margin already subtracted.
}

// MarkedMsg says that the store holds the lease's marker.
type MarkedMsg struct{ Lease string }

// MembersMsg carries the members that accept new work.
type MembersMsg struct{ Serving []hemlocktally.Instance }

// TableMsg carries a table from the store. LiveLeases holds the leases whose markers
// were in the same listing; it is nil if the table came without a listing.
type TableMsg struct {
	Table      Table
	LiveLeases map[string]bool
}

// SwapResult is the result of a compare-and-swap of the table.
type SwapResult int

// The results of a compare-and-swap.
const (
	SwapDone    SwapResult = iota // SwapDone means that the write took effect.
	SwapFailed                    // SwapFailed means that the write never takes effect.
	SwapUnknown                   // SwapUnknown means that the write may have taken effect or may do so later.
)

// SwapMsg answers a SwapCmd.
type SwapMsg struct {
	Result SwapResult
	Base   hemlocktally.StoreVersion // Base is the table version that the write was to replace.
	Table  Table
}

// TransferMsg carries the records of ranges to their next holder.
type TransferMsg struct {
	RequestID RequestID
	ID        string
	From      hemlocktally.InstanceID
	Ranges    []RangeRecords
}

// TransferredMsg answers a TransferCmd.
type TransferredMsg struct {
	ID          string
	Accepted    bool
	Incarnation string
	Lease       string
}

// LeaveMsg starts the hand-over of all ranges before a planned stop.
type LeaveMsg struct{}

// TickMsg triggers the periodic work.
type TickMsg struct{}

func (BeginMsg) isMsg()       {}
func (FinishMsg) isMsg()      {}
func (CancelMsg) isMsg()      {}
func (LeaseMsg) isMsg()       {}
func (MarkedMsg) isMsg()      {}
func (MembersMsg) isMsg()     {}
func (TableMsg) isMsg()       {}
func (SwapMsg) isMsg()        {}
func (TransferMsg) isMsg()    {}
func (TransferredMsg) isMsg() {}
func (LeaveMsg) isMsg()       {}
func (TickMsg) isMsg()        {}

// Cmd is an output of State.Update that the Server must carry out.
type Cmd interface{ isCmd() }

// AnswerCmd answers a BeginMsg. If Moved is set, the request was not decided and
// should be sent to Claim.Holder.
type AnswerCmd struct {
	RequestID RequestID
	Claim     hemlocktally.Claim
	Moved     bool
}

// RecordedCmd answers a FinishMsg.
type RecordedCmd struct {
	RequestID RequestID
	Recorded  bool
	Moved     bool
	Holder    hemlocktally.InstanceID
}

// AcceptCmd answers a TransferMsg.
type AcceptCmd struct {
	RequestID RequestID
	Accepted  bool
	Lease     string
	Detail    string
}

// MarkCmd writes the lease's marker, a key that the store deletes with the lease.
type MarkCmd struct{ Lease string }

// SwapCmd replaces the table in the store, if its version is still Table.Version.
type SwapCmd struct{ Table Table }

// RefreshCmd lists the table and the lease markers.
type RefreshCmd struct{}

// TransferCmd sends records to the next holder of their ranges.
type TransferCmd struct {
	ID     string
	To     hemlocktally.Instance
	Ranges []RangeRecords
}

// ConfirmCmd sends the written table to the next holder.
type ConfirmCmd struct {
	To    hemlocktally.Instance
	Table Table
}

// RangeEventCmd logs a change of the holder of ranges.
type RangeEventCmd struct {
	Kind   RangeEvent
	Ranges []RangeID
	Detail string
}

// RangeEvent is the kind of a RangeEventCmd.
type RangeEvent int

// The kinds of range events.
const (
	RangeTaken RangeEvent = iota // RangeTaken means that the range was taken over without its records.
	RangeReceived
	RangeResumed // RangeResumed means that the same process got the range back and still had its records.
	RangeHandedOver
	RangeHandOverFailed
	RangeLost
)

// InvariantCmd reports a violation of an invariant.
type InvariantCmd struct{ Detail string }

// LeftCmd says that a leaving instance has handed over all the ranges that it can.
type LeftCmd struct{}

func (AnswerCmd) isCmd()     {}
func (RecordedCmd) isCmd()   {}
func (AcceptCmd) isCmd()     {}
func (MarkCmd) isCmd()       {}
func (SwapCmd) isCmd()       {}
func (RefreshCmd) isCmd()    {}
func (TransferCmd) isCmd()   {}
func (ConfirmCmd) isCmd()    {}
func (RangeEventCmd) isCmd() {}
func (InvariantCmd) isCmd()  {}
func (LeftCmd) isCmd()       {}
