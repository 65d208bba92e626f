package claimer

import (
	"time"

	"hemlocktally"
)

// Msg is something that happened to a holder.
type Msg interface{ isMsg() }

// Asker numbers a request that waits for an answer of the state.
type Asker uint64

// BeginMsg asks to run a call under a key.
type BeginMsg struct {
	Asker     Asker
	Request   hemlocktally.ClaimRequest
	WaitUntil time.Time // WaitUntil is when the asker wants some answer.
}

// FinishMsg tells what came of a call.
type FinishMsg struct {
	Asker   Asker
	Call    hemlocktally.CallID
	Key     KeyID
	Digest  []byte
	Outcome hemlocktally.Outcome
	Kept    *hemlocktally.KeptAnswer
}

// CancelMsg says that an asker no longer waits.
type CancelMsg struct{ Asker Asker }

// LeaseMsg tells the instance's lease; an empty ID means none.
type LeaseMsg struct {
	ID  string
	End time.Time // End is monotonic, with the clock margin taken off.
}

// MarkedMsg says that the store holds the mark that goes away with the lease.
type MarkedMsg struct{ Lease string }

// MembersMsg tells the members that take new work.
type MembersMsg struct{ Serving []hemlocktally.Instance }

// AssignmentMsg shows a table of the store. Live holds the leases whose marks
// the same listing had; it is nil where the table came without a listing.
type AssignmentMsg struct {
	Table Table
	Live  map[string]bool
}

// SwapResult is what came of a compare-and-swap of the table.
type SwapResult int

// The results of a compare-and-swap.
const (
	SwapDone    SwapResult = iota // SwapDone took effect.
	SwapFailed                    // SwapFailed never takes effect.
	SwapUnknown                   // SwapUnknown may take effect, now or later.
)

// SwapMsg answers a SwapCmd.
type SwapMsg struct {
	Result SwapResult
	Base   hemlocktally.StoreVersion // Base is the version that was to be replaced.
	Table  Table
}

// TransferMsg offers the records of ranges to their next holder.
type TransferMsg struct {
	Asker  Asker
	ID     string
	From   hemlocktally.InstanceID
	Ranges []RangeRecords
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

// TickMsg lets time pass.
type TickMsg struct{}

func (BeginMsg) isMsg()       {}
func (FinishMsg) isMsg()      {}
func (CancelMsg) isMsg()      {}
func (LeaseMsg) isMsg()       {}
func (MarkedMsg) isMsg()      {}
func (MembersMsg) isMsg()     {}
func (AssignmentMsg) isMsg()  {}
func (SwapMsg) isMsg()        {}
func (TransferMsg) isMsg()    {}
func (TransferredMsg) isMsg() {}
func (LeaveMsg) isMsg()       {}
func (TickMsg) isMsg()        {}

// Cmd is something that the task must do.
type Cmd interface{ isCmd() }

// AnswerCmd answers a BeginMsg. Moved is set where another instance holds the
// range; then Claim.Holder names it.
type AnswerCmd struct {
	Asker Asker
	Claim hemlocktally.Claim
	Moved bool
}

// RecordedCmd answers a FinishMsg.
type RecordedCmd struct {
	Asker    Asker
	Recorded bool
	Moved    bool
	Holder   hemlocktally.InstanceID
}

// AcceptCmd answers a TransferMsg.
type AcceptCmd struct {
	Asker    Asker
	Accepted bool
	Lease    string
	Detail   string
}

// MarkCmd writes the mark that goes away with the lease.
type MarkCmd struct{ Lease string }

// SwapCmd writes the table in place of the version that it carries.
type SwapCmd struct{ Table Table }

// RefreshCmd lists the table and the marks.
type RefreshCmd struct{}

// TransferCmd sends records to the next holder of their ranges.
type TransferCmd struct {
	ID     string
	To     hemlocktally.Instance
	Ranges []RangeRecords
}

// ConfirmCmd shows the accepted table to the next holder.
type ConfirmCmd struct {
	To    hemlocktally.Instance
	Table Table
}

// NoteCmd logs how ranges changed hands.
type NoteCmd struct {
	Kind   NoteKind
	Ranges []RangeID
	Detail string
}

// NoteKind says what a NoteCmd is about.
type NoteKind int

// The kinds of notes.
const (
	NoteTaken NoteKind = iota // NoteTaken is a range that came without its records.
	NoteReceived
	NoteResumed // NoteResumed is a range that the same process got back with its records.
	NoteHandedOver
	NoteHandOverFailed
	NoteLost
)

// InvariantCmd says that a promise was found broken.
type InvariantCmd struct{ Detail string }

// LeftCmd says that a leaving instance holds no range any more.
type LeftCmd struct{}

func (AnswerCmd) isCmd()    {}
func (RecordedCmd) isCmd()  {}
func (AcceptCmd) isCmd()    {}
func (MarkCmd) isCmd()      {}
func (SwapCmd) isCmd()      {}
func (RefreshCmd) isCmd()   {}
func (TransferCmd) isCmd()  {}
func (ConfirmCmd) isCmd()   {}
func (NoteCmd) isCmd()      {}
func (InvariantCmd) isCmd() {}
func (LeftCmd) isCmd()      {}
