package claimer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"hemlocktally"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// newHolder returns a state that holds every range at epoch 1 under the given lease.
func newHolder(id hemlocktally.InstanceID, lease string, version hemlocktally.StoreVersion) *State {
	s := &State{Self: hemlocktally.Instance{ID: id, Incarnation: string(id)}, NewID: func() string { return "T-" + string(id) }}
	s.Update(LeaseMsg{ID: lease, End: start.Add(time.Minute)}, start)
	s.Update(MarkedMsg{Lease: lease}, start)
	s.Update(TableMsg{Table: tableOf(s.Self, lease, 1, version, ""), LiveLeases: map[string]bool{lease: true}}, start)
	return s
}

func tableOf(to hemlocktally.Instance, lease string, epoch uint64, version hemlocktally.StoreVersion, transfer string) Table {
	table := Table{Version: version}
	for i := range table.Assignments {
		table.Assignments[i] = Assignment{
			Holder: to.ID, Incarnation: to.Incarnation, Lease: lease, Epoch: epoch, Transfer: transfer,
		}
	}
	return table
}

func begin(requestID RequestID, call, key string, now time.Time) BeginMsg {
	return BeginMsg{RequestID: requestID, WaitUntil: now.Add(time.Second), Request: hemlocktally.ClaimRequest{
		Call: hemlocktally.CallID(call), Caller: "counter", Contract: "Holds", Key: key, Digest: []byte("body"),
		Deadline: now.Add(2 * time.Second),
	}}
}

func finish(m BeginMsg, outcome hemlocktally.Outcome) FinishMsg {
	f := FinishMsg{Call: m.Request.Call, Key: KeyOf(m.Request), Digest: m.Request.Digest, Outcome: outcome}
	if outcome == hemlocktally.OutcomeDone {
		f.Kept = &hemlocktally.StoredResponse{Status: 201, Body: []byte("held")}
	}
	return f
}

// answers returns the answers among the commands by request.
func answers(cmds []Cmd) map[RequestID]AnswerCmd {
	out := map[RequestID]AnswerCmd{}
	for _, cmd := range cmds {
		if a, ok := cmd.(AnswerCmd); ok {
			out[a.RequestID] = a
		}
	}
	return out
}

func verdict(cmds []Cmd, requestID RequestID) hemlocktally.ClaimVerdict {
	return answers(cmds)[requestID].Claim.Verdict
}

func keyAt(at time.Time) string {
	return ulid.MustNew(ulid.Timestamp(at), ulid.DefaultEntropy()).String()
}

func TestKeyRunsOnceAndRetriesGetTheKeptAnswer(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 1)
	first := begin(1, "c1", "k", start)
	c.Assert(verdict(s.Update(first, start), 1), qt.Equals, hemlocktally.ClaimRun)
	waiting := s.Update(begin(2, "c2", "k", start), start)
	c.Assert(answers(waiting), qt.HasLen, 0)
	done := s.Update(finish(first, hemlocktally.OutcomeDone), start)
	c.Assert(verdict(done, 2), qt.Equals, hemlocktally.ClaimDone)
	again := answers(s.Update(begin(3, "c3", "k", start), start))[3]
	c.Assert(string(again.Claim.Response.Body), qt.Equals, "held")
	other := begin(4, "c4", "k", start)
	other.Request.Digest = []byte("another body")
	c.Assert(verdict(s.Update(other, start), 4), qt.Equals, hemlocktally.ClaimDiffers)
}

func TestRepeatedBeginOfTheSameCallGetsTheSameVerdict(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 1)
	first := answers(s.Update(begin(1, "c1", "k", start), start))[1]
	later := start.Add(time.Second)
	second := answers(s.Update(begin(2, "c1", "k", later), later))[2]
	c.Assert(second.Claim.Verdict, qt.Equals, hemlocktally.ClaimRun)
	c.Assert(second.Claim.Fence, qt.Equals, first.Claim.Fence)
	// An abandoned call never runs, even if its request arrives late.
	s.Update(finish(begin(1, "c1", "k", start), hemlocktally.OutcomeNotRun), later)
	c.Assert(verdict(s.Update(begin(3, "c1", "k", later), later), 3), qt.Equals, hemlocktally.ClaimRefused)
	c.Assert(verdict(s.Update(begin(4, "c4", "k", later), later), 4), qt.Equals, hemlocktally.ClaimRun)
	// A late report on the abandoned call does not free the key of the next one.
	s.Update(finish(begin(1, "c1", "k", start), hemlocktally.OutcomeNotRun), later)
	c.Assert(verdict(s.Update(begin(5, "c5", "k", later), later), 5), qt.Equals, hemlocktally.ClaimVerdict(""))
}

func TestWaitingCallRunsIfTheFirstDidNotRun(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 1)
	first := begin(1, "c1", "k", start)
	s.Update(first, start)
	s.Update(begin(2, "c2", "k", start), start)
	s.Update(begin(3, "c3", "k", start), start)
	cmds := s.Update(finish(first, hemlocktally.OutcomeNotRun), start)
	c.Assert(verdict(cmds, 2), qt.Equals, hemlocktally.ClaimRun)
	c.Assert(answers(cmds), qt.HasLen, 1)
	late := s.Update(TickMsg{}, start.Add(1500*time.Millisecond))
	c.Assert(verdict(late, 3), qt.Equals, hemlocktally.ClaimRunning)
}

func TestKeyIsUnknownAfterTheFence(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 1)
	first := begin(1, "c1", "k", start)
	s.Update(first, start)
	after := start.Add(3 * time.Second)
	s.Update(TickMsg{}, after)
	c.Assert(verdict(s.Update(begin(2, "c2", "k", after), after), 2), qt.Equals, hemlocktally.ClaimUnknown)
	// A late report that the call did not run is rejected; one that it was done is
	// accepted.
	s.Update(finish(first, hemlocktally.OutcomeNotRun), after)
	c.Assert(verdict(s.Update(begin(3, "c3", "k", after), after), 3), qt.Equals, hemlocktally.ClaimUnknown)
	s.Update(finish(first, hemlocktally.OutcomeDone), after)
	c.Assert(verdict(s.Update(begin(4, "c4", "k", after), after), 4), qt.Equals, hemlocktally.ClaimDone)
}

func TestPausedHolderDoesNotAnswerAfterItsLease(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 1)
	after := start.Add(time.Minute)
	c.Assert(verdict(s.Update(begin(1, "c1", "k", after), after), 1), qt.Equals, hemlocktally.ClaimRefused)
	near := start.Add(time.Minute - minRunTime/2)
	c.Assert(verdict(s.Update(begin(2, "c2", "k", near), near), 2), qt.Equals, hemlocktally.ClaimRefused)
	before := start.Add(time.Minute - time.Second)
	run := answers(s.Update(begin(3, "c3", "k", before), before))[3]
	c.Assert(run.Claim.Fence, qt.Equals, start.Add(time.Minute))
}

func TestKeysThatAnEarlierHolderMayHaveSeenAreUnknown(t *testing.T) {
	c := qt.New(t)
	s := &State{Self: hemlocktally.Instance{ID: "b", Incarnation: "b"}}
	s.Update(LeaseMsg{ID: "L2", End: start.Add(time.Hour)}, start)
	s.Update(TableMsg{Table: tableOf(s.Self, "L2", 2, 2, "")}, start)
	now := start.Add(3 * ClockMargin)
	for _, test := range []struct {
		key  string
		want hemlocktally.ClaimVerdict
	}{
		{"a key without a time", hemlocktally.ClaimUnknown},
		{keyAt(start.Add(-time.Second)), hemlocktally.ClaimUnknown},
		{keyAt(start.Add(ClockMargin)), hemlocktally.ClaimUnknown},
		{keyAt(now), hemlocktally.ClaimRun},
		{keyAt(now.Add(2 * ClockMargin)), hemlocktally.ClaimRefused},
	} {
		c.Check(verdict(s.Update(begin(1, "c-"+test.key, test.key, now), now), 1), qt.Equals, test.want, qt.Commentf(test.key))
	}
	later := start.Add(KeyLifetime + time.Second)
	c.Check(verdict(s.Update(begin(2, "c2", "another without a time", later), later), 2), qt.Equals, hemlocktally.ClaimRun)
	old := keyAt(start.Add(3 * ClockMargin))
	later = start.Add(KeyLifetime + 3*ClockMargin)
	c.Check(verdict(s.Update(begin(3, "c3", old, later), later), 3), qt.Equals, hemlocktally.ClaimUnknown)
}

func TestKeyTime(t *testing.T) {
	c := qt.New(t)
	made, ok := KeyTime(uuid.Must(uuid.NewV7()).String())
	c.Check(ok, qt.IsTrue)
	c.Check(time.Since(made) < time.Hour, qt.IsTrue)
	made, ok = KeyTime(keyAt(start))
	c.Check(ok, qt.IsTrue)
	c.Check(made.Equal(start), qt.IsTrue)
	_, ok = KeyTime(uuid.NewString())
	c.Check(ok, qt.IsFalse)
	_, ok = KeyTime("hold 7")
	c.Check(ok, qt.IsFalse)
}

func TestFullMemoryRefusesBeforeRunning(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 1)
	s.Limits = Limits{Records: 1, KeptBytes: 6}
	first := begin(1, "c1", "k1", start)
	c.Assert(verdict(s.Update(first, start), 1), qt.Equals, hemlocktally.ClaimRun)
	c.Assert(verdict(s.Update(begin(2, "c2", "k2", start), start), 2), qt.Equals, hemlocktally.ClaimRefused)
	s.Limits.Records = 2
	second := begin(3, "c3", "k2", start)
	c.Assert(verdict(s.Update(second, start), 3), qt.Equals, hemlocktally.ClaimRun)
	s.Update(finish(first, hemlocktally.OutcomeDone), start)
	s.Update(finish(second, hemlocktally.OutcomeDone), start)
	// The older answer was evicted for the newer one; its key never runs again.
	c.Check(verdict(s.Update(begin(4, "c4", "k1", start), start), 4), qt.Equals, hemlocktally.ClaimUnknown)
	c.Check(verdict(s.Update(begin(5, "c5", "k2", start), start), 5), qt.Equals, hemlocktally.ClaimDone)
	s.Update(TickMsg{}, start.Add(KeyLifetime))
	c.Check(s.memory.records, qt.Equals, 0)
	c.Check(s.memory.keptBytes, qt.Equals, 0)
}

func TestHolderThatGetsItsRangesBackKeepsItsRecords(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 1)
	first := begin(1, "c1", "k", start)
	s.Update(first, start)
	s.Update(finish(first, hemlocktally.OutcomeDone), start)
	s.Update(LeaseMsg{}, start)
	c.Assert(verdict(s.Update(begin(2, "c2", "k", start), start), 2), qt.Equals, hemlocktally.ClaimRefused)
	s.Update(LeaseMsg{ID: "L2", End: start.Add(time.Hour)}, start)
	cmds := s.Update(MarkedMsg{Lease: "L2"}, start)
	swap, ok := cmds[0].(SwapCmd)
	c.Assert(ok, qt.IsTrue)
	table := swap.Table
	table.Version = 2
	s.Update(SwapMsg{Result: SwapDone, Base: 1, Table: table}, start)
	c.Check(verdict(s.Update(begin(3, "c3", "k", start), start), 3), qt.Equals, hemlocktally.ClaimDone)
	c.Check(verdict(s.Update(begin(4, "c4", "new key", start), start), 4), qt.Equals, hemlocktally.ClaimRun)
}

func TestHolderDropsItsRecordsIfAnotherHeldTheRangeSince(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 1)
	first := begin(1, "c1", "k", start)
	s.Update(first, start)
	s.Update(finish(first, hemlocktally.OutcomeNotRun), start)
	s.Update(LeaseMsg{}, start)
	s.Update(LeaseMsg{ID: "L2", End: start.Add(time.Hour)}, start)
	other := hemlocktally.Instance{ID: "b", Incarnation: "b"}
	s.Update(TableMsg{Table: tableOf(other, "LB", 2, 2, "")}, start)
	moved := answers(s.Update(begin(2, "c2", "k", start), start))[2]
	c.Assert(moved.Moved, qt.IsTrue)
	s.Update(TableMsg{Table: tableOf(s.Self, "L2", 3, 3, "")}, start)
	c.Assert(verdict(s.Update(begin(3, "c3", "k", start), start), 3), qt.Equals, hemlocktally.ClaimUnknown)
}

func TestOlderTableChangesNothing(t *testing.T) {
	c := qt.New(t)
	s := newHolder("a", "L1", 5)
	other := hemlocktally.Instance{ID: "b", Incarnation: "b"}
	c.Assert(s.Update(TableMsg{Table: tableOf(other, "LB", 2, 4, ""), LiveLeases: map[string]bool{}}, start), qt.HasLen, 0)
	c.Assert(verdict(s.Update(begin(1, "c1", "k", start), start), 1), qt.Equals, hemlocktally.ClaimRun)
}

func TestPermissionIsNotUsedAfterItsFence(t *testing.T) {
	c := qt.New(t)
	claim := hemlocktally.Claim{Verdict: hemlocktally.ClaimRun, Fence: time.Now().Add(-time.Nanosecond)}
	c.Assert((&Client{}).checkFence(claim).Verdict, qt.Equals, hemlocktally.ClaimRefused)
	claim.Fence = time.Now().Add(time.Hour)
	c.Assert((&Client{}).checkFence(claim).Verdict, qt.Equals, hemlocktally.ClaimRun)
}
