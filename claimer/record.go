package claimer

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// RecordState is the state of a key's call as its holder knows it.
type RecordState string

// The states of a key's record. An unknown key stays unknown unless its own call
// is reported as done later.
const (
	RecordFree    RecordState = "Free"    // RecordFree means that no call ran, and one may run.
	RecordRunning RecordState = "Running" // RecordRunning means that a call was granted and is not finished.
	RecordDone    RecordState = "Done"    // RecordDone means that the call ran and its whole answer was received.
	RecordUnknown RecordState = "Unknown" // RecordUnknown means that the call may have run.
)

type recordEvent string

const (
	eventRun     recordEvent = "Run"
	eventRelease recordEvent = "Release"
	eventFinish  recordEvent = "Finish"
	eventLose    recordEvent = "Lose"
)

// newRecordMachine returns the state machine for records. All records of a State
// share it; transition sets its current state before each event.
func newRecordMachine() *fsm.FSM {
	stateNames := func(s ...RecordState) []string {
		names := make([]string, 0, len(s))
		for _, state := range s {
			names = append(names, string(state))
		}
		return names
	}
	return fsm.NewFSM(string(RecordFree), fsm.Events{
		{Name: string(eventRun), Src: stateNames(RecordFree), Dst: string(RecordRunning)},
		{Name: string(eventRelease), Src: stateNames(RecordRunning), Dst: string(RecordFree)},
		{Name: string(eventFinish), Src: stateNames(RecordRunning, RecordUnknown), Dst: string(RecordDone)},
		{Name: string(eventLose), Src: stateNames(RecordRunning), Dst: string(RecordUnknown)},
	}, nil)
}

// Record is what a holder stores about one key.
type Record struct {
	Key     KeyID
	Digest  []byte
	Call    hemlocktally.CallID // Call is the last call that was granted.
	State   RecordState
	Fence   time.Time // Fence is the time by which the call must have ended.
	Created time.Time
	Kept    *hemlocktally.StoredResponse

	waiters []BeginMsg // waiters holds the requests that wait for the running call.
}

// RangeRecords is the whole content of one range, as a hand-over transfers it.
type RangeRecords struct {
	Range    RangeID
	Epoch    uint64
	Horizon  time.Time // Horizon is the latest creation time of keys that an earlier holder may have seen.
	TaintEnd time.Time // TaintEnd is the time until which a key that has no record and carries no time may have been seen before.
	Records  []Record
}

// transition applies the event to the record and keeps the range's running set up
// to date. It returns false if the event is not allowed in the record's state.
func (s *State) transition(h *rangeState, r *Record, event recordEvent) bool {
	s.machine.SetState(string(r.State))
	if err := s.machine.Event(context.Background(), string(event)); err != nil {
		return false
	}
	r.State = RecordState(s.machine.Current())
	if r.State == RecordRunning {
		h.running[r.Key] = r
	} else {
		delete(h.running, r.Key)
	}
	return true
}

func keptBytes(kept *hemlocktally.StoredResponse) int {
	if kept == nil {
		return 0
	}
	size := len(kept.Body)
	for name, values := range kept.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
