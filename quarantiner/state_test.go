package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
	"hemlocktally/quarantiner"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const second = time.Second

func fingerprint(n int) hemlocktally.Fingerprint {
	return hemlocktally.Fingerprint{byte(n), byte(n >> 8), 1}
}

func crash(request, target int, at time.Time) quarantiner.CrashMsg {
	return quarantiner.CrashMsg{Request: fingerprint(request), Service: "s", Crash: hemlocktally.TargetCrash{
		Target: hemlocktally.TargetName(fmt.Sprintf("t-%d", target)), At: at, ReportedBy: "e",
	}}
}

// crashes reports one crash a second and returns the time of the last one.
func crashes(s *quarantiner.State, request, n int, from time.Time) time.Time {
	at := from
	for i := range n {
		at = from.Add(time.Duration(i) * second)
		s.Update(crash(request, 100*request+i, at), at)
	}
	return at
}

func verdict(s *quarantiner.State, request int, now time.Time) hemlocktally.Verdict {
	v, _, _ := s.Verdict(fingerprint(request), now)
	return v
}

func TestThirdCrashHoldsRequestBack(t *testing.T) {
	c := qt.New(t)
	var s quarantiner.State
	at := crashes(&s, 1, 2, start)
	c.Check(verdict(&s, 1, at), qt.Equals, hemlocktally.VerdictSend)
	at = at.Add(second)
	commands := s.Update(crash(1, 9, at), at)
	c.Assert(commands, qt.HasLen, 2)
	c.Check(commands[0].(quarantiner.HoldCmd).Suspect.Crashes, qt.HasLen, 3)
	c.Check(commands[1], qt.Equals, any(quarantiner.ShareCmd{Request: fingerprint(1)}))
	c.Check(verdict(&s, 1, at), qt.Equals, hemlocktally.VerdictHold)
	c.Check(verdict(&s, 2, at), qt.Equals, hemlocktally.VerdictSend)
}

// The same crash, reported again by another way, counts once.
func TestRepeatedReportCountsOnce(t *testing.T) {
	c := qt.New(t)
	var s quarantiner.State
	for i := range 5 {
		at := start.Add(time.Duration(i) * second)
		s.Update(crash(1, 7, at), at)
	}
	c.Check(verdict(&s, 1, start.Add(10*second)), qt.Equals, hemlocktally.VerdictSend)
	c.Check(s.Since(0, false)[0].Crashes, qt.HasLen, 1)
}

// A zone, a rack or a release that ends many targets at one moment accuses no request, however
// many of them ran it.
func TestSimultaneousCrashesCountAsOne(t *testing.T) {
	c := qt.New(t)
	var s quarantiner.State
	for target := range 12 {
		at := start.Add(time.Duration(target) * time.Millisecond)
		s.Update(crash(1, target, at), at)
	}
	c.Check(verdict(&s, 1, start.Add(second)), qt.Equals, hemlocktally.VerdictSend)
}

// A request that a target completes was not what crashed the others.
func TestCompletionClearsRequest(t *testing.T) {
	c := qt.New(t)
	var s quarantiner.State
	at := crashes(&s, 1, 3, start).Add(second)
	commands := s.Update(quarantiner.ClearMsg{Request: fingerprint(1), By: "t-5"}, at)
	c.Assert(commands, qt.HasLen, 2)
	c.Check(commands[0].(quarantiner.ReleaseCmd).Suspect.ClearedBy, qt.Equals, "t-5")
	c.Check(verdict(&s, 1, at), qt.Equals, hemlocktally.VerdictSend)
	c.Check(s.Update(quarantiner.ClearMsg{Request: fingerprint(1), By: "t-5"}, at.Add(second)), qt.HasLen, 0, qt.Commentf("a further completion costs nothing"))
	crashes(&s, 1, 2, at.Add(second))
	c.Check(verdict(&s, 1, at.Add(3*second)), qt.Equals, hemlocktally.VerdictSend, qt.Commentf("earlier crashes are forgotten"))
}

// After ten minutes, and twice as long after each crash, one call at a time may try it again.
func TestTrialsAreSingleAndGetRarer(t *testing.T) {
	c := qt.New(t)
	var s quarantiner.State
	now := crashes(&s, 1, 3, start)
	trials := 0
	for hold := 10 * time.Minute; hold < 2*time.Hour; hold *= 2 {
		c.Check(s.Update(quarantiner.TrialMsg{Request: fingerprint(1), Ticket: "early"}, now.Add(hold-second)), qt.HasLen, 0)
		c.Check(verdict(&s, 1, now.Add(hold-second)), qt.Equals, hemlocktally.VerdictHold)
		now = now.Add(hold)
		c.Check(verdict(&s, 1, now), qt.Equals, hemlocktally.VerdictTrial)
		for _, ticket := range []string{"a", "b", "a"} {
			granted := len(s.Update(quarantiner.TrialMsg{Request: fingerprint(1), Ticket: ticket}, now)) > 0
			c.Check(granted, qt.Equals, ticket == "a")
		}
		s.Update(crash(1, 1000+trials, now), now)
		trials++
	}
	c.Check(trials, qt.Equals, 4)
	s.Update(quarantiner.ClearMsg{Request: fingerprint(1), By: "operator"}, now.Add(second))
	c.Check(verdict(&s, 1, now.Add(second)), qt.Equals, hemlocktally.VerdictSend)
}

// What does not come again is forgotten, also while it was held back.
func TestSuspicionIsForgotten(t *testing.T) {
	c := qt.New(t)
	var s quarantiner.State
	at := crashes(&s, 1, 3, start)
	crashes(&s, 2, 1, start)
	s.Update(crash(3, 1, at.Add(19*time.Minute)), at.Add(19*time.Minute))
	c.Check(s.Len(), qt.Equals, 2, qt.Commentf("the single crash is forgotten, the held request not"))
	released := s.Update(crash(3, 2, at.Add(21*time.Minute)), at.Add(21*time.Minute))
	c.Check(s.Len(), qt.Equals, 1)
	_, ok := released[0].(quarantiner.ReleaseCmd)
	c.Check(ok, qt.IsTrue)
}

// A flood of suspects does not displace the requests that are held back, and needs bounded memory.
func TestFloodOfSuspectsIsBounded(t *testing.T) {
	c := qt.New(t)
	var s quarantiner.State
	at := crashes(&s, 1, 3, start)
	for n := 2; n < 5000; n++ {
		s.Update(crash(n, n, at), at)
	}
	for target := range 500 {
		s.Update(crash(1, 10_000+target, at.Add(time.Duration(target)*second)), at.Add(time.Duration(target)*second))
	}
	c.Check(s.Len(), qt.Equals, 1024)
	c.Check(verdict(&s, 1, at.Add(second)), qt.Equals, hemlocktally.VerdictHold)
	c.Check(s.Since(0, false), qt.HasLen, 64)
	c.Check(s.Since(0, false)[0].Request, qt.Equals, fingerprint(1))
	c.Check(s.Since(0, false)[0].Crashes, qt.HasLen, 16)
}

// Instances that know the same reports come to the same verdict, in whatever order and however
// often the reports arrive.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Minute)
		var reports []hemlocktally.Suspect
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			report := hemlocktally.Suspect{Request: fingerprint(rapid.IntRange(1, 2).Draw(t, "request"))}
			at := start.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "at")) * 20 * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				report.ClearedAt, report.ClearedBy = at, "t"
			} else {
				// The time of a crash is that of its target, so that all reports of it agree.
				target := rapid.IntRange(1, 8).Draw(t, "target")
				report.Crashes = []hemlocktally.TargetCrash{{
					Target: hemlocktally.TargetName(fmt.Sprint(target)), At: start.Add(time.Duration(target) * 90 * time.Millisecond),
				}}
			}
			reports = append(reports, report)
		}
		var first, second quarantiner.State
		for _, report := range reports {
			first.Update(quarantiner.SuspectsMsg{Suspects: []hemlocktally.Suspect{report}}, now)
		}
		for _, i := range rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0)).Perm(2 * len(reports)) {
			second.Update(quarantiner.SuspectsMsg{Suspects: reports[i%len(reports) : i%len(reports)+1]}, now)
		}
		for request := range 3 {
			if verdict(&first, request, now) != verdict(&second, request, now) {
				t.Fatalf("request %d: %+v, in another order %+v", request, first.Since(0, false), second.Since(0, false))
			}
		}
	})
}
