package claimer

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// RecordState is what a holder knows of a key.
type RecordState string

// The states of a key's record. An unknown key stays unknown unless its own
// call turns out to be done.
const (
	RecordFree    RecordState = "Free"    // RecordFree surely never ran and may run.
	RecordRunning RecordState = "Running" // RecordRunning was let run and is not finished.
	RecordDone    RecordState = "Done"    // RecordDone ran to its whole answer.
	RecordUnknown RecordState = "Unknown" // RecordUnknown may have run.
)

type recordEvent string

const (
	eventRun     recordEvent = "Run"
	eventRelease recordEvent = "Release"
	eventFinish  recordEvent = "Finish"
	eventLose    recordEvent = "Lose"
)

// newRecordMachine returns the machine that all records of a state share.
func newRecordMachine() *fsm.FSM {
	one := func(s ...RecordState) []string {
		names := make([]string, 0, len(s))
		for _, state := range s {
			names = append(names, string(state))
		}
		return names
	}
	return fsm.NewFSM(string(RecordFree), fsm.Events{
		{Name: string(eventRun), Src: one(RecordFree), Dst: string(RecordRunning)},
		{Name: string(eventRelease), Src: one(RecordRunning), Dst: string(RecordFree)},
		{Name: string(eventFinish), Src: one(RecordRunning, RecordUnknown), Dst: string(RecordDone)},
		{Name: string(eventLose), Src: one(RecordRunning), Dst: string(RecordUnknown)},
	}, nil)
}

// Record is what a holder remembers of one key.
type Record struct {
	Key     KeyID
	Digest  []byte
	Call    hemlocktally.CallID // Call is the last call that was let run.
	State   RecordState
	Fence   time.Time // Fence is when the call must have ended.
	Created time.Time
	Kept    *hemlocktally.KeptAnswer

	waiters []BeginMsg // waiters wait for the call that runs.
}

// RangeRecords is all that a holder knows of one range.
type RangeRecords struct {
	Range    RangeID
	Epoch    uint64
	Horizon  time.Time // Horizon is up to when keys were made that an earlier holder may have seen.
	TaintEnd time.Time // TaintEnd is up to when an unseen key without a time may have been seen.
	Records  []Record
}

// step moves the record on; it returns false where the event does not fit.
func (s *State) step(h *held, r *Record, event recordEvent) bool {
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

func keptBytes(kept *hemlocktally.KeptAnswer) int {
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
