package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"hemlocktally"
)

const (
	// crashesToHold is how many crashes a request is held back after.
	crashesToHold = 3
	// crashesToShare is the number of crashes from which hubs tell all instances of a request,
	// so that one at which it completes can clear it.
	crashesToShare = 2
	// commonCause is the span in which several crashes count as one: a request can't be blamed
	// for what befalls several targets at the same moment.
	commonCause = 50 * time.Millisecond
	// suspicionTTL is how long a crash, or a completion, is remembered while the request is not
	// held back.
	suspicionTTL = 10 * time.Minute
	// firstHold is how long after its last crash a request is held back. It doubles with each
	// trial that ends with a crash.
	firstHold = 10 * time.Minute
	maxHold   = 24 * time.Hour
	// trialTime is how long a trial may take before another one may start.
	trialTime = 30 * time.Second
	// maxSuspects limits the requests that are remembered; maxCrashes the crashes of each.
	maxSuspects = 1024
	maxCrashes  = 16
	// maxSuspectsTold limits the requests in one message.
	maxSuspectsTold = 64
	// forgetInterval is the minimum time between two scans for outdated entries.
	forgetInterval = time.Second
)

// State holds the suspected requests. Its zero value suspects none. Only Update changes it. It
// has no lock and reads no clock.
type State struct {
	// Run tells the versions of this state from those before its entries were last empty, and
	// from those of another run of the program.
	Run uint32

	entries map[hemlocktally.Fingerprint]*entry
	// version counts the changes since the entries were last empty.
	version     uint32
	forgottenAt time.Time
}

// entry is what is known of one request.
type entry struct {
	hemlocktally.Suspect
	changed     uint32 // changed is the version of the last change.
	shared      bool   // shared is set once hubs tell all instances of the request.
	held        bool   // held is set once HoldCmd was returned, until ReleaseCmd is.
	trialTicket string
	trialUntil  time.Time
}

// Update applies one message at the given time and returns the commands to execute.
func (s *State) Update(msg any, now time.Time) []any {
	commands := s.forget(now)
	return append(commands, s.apply(msg, now)...)
}

func (s *State) apply(msg any, now time.Time) []any {
	switch msg := msg.(type) {
	case CrashMsg:
		merged := hemlocktally.Suspect{Request: msg.Request, Service: msg.Service, Crashes: []hemlocktally.TargetCrash{msg.Crash}}
		return append(s.merge(merged), ShareCmd{Request: msg.Request})
	case ClearMsg:
		return s.clear(msg, now)
	case SuspectsMsg:
		var commands []any
		for _, suspect := range msg.Suspects {
			commands = append(commands, s.merge(suspect)...)
		}
		return commands
	case TrialMsg:
		return s.startTrial(msg, now)
	}
	return nil
}

// Len returns how many requests are suspected, held back or were cleared lately.
func (s *State) Len() int { return len(s.entries) }

// clear drops the crashes of a request. It changes nothing for one that has none, so that
// completions of a cleared request cost no messages.
func (s *State) clear(msg ClearMsg, now time.Time) []any {
	e := s.entries[msg.Request]
	if e == nil || len(e.Crashes) == 0 {
		return nil
	}
	cleared := hemlocktally.Suspect{Request: msg.Request, Service: e.Service, ClearedAt: now, ClearedBy: msg.By}
	return append(s.merge(cleared), ShareCmd{Request: msg.Request})
}

// merge adds reports. The result does not depend on the order in which reports arrive.
func (s *State) merge(reported hemlocktally.Suspect) []any {
	e := s.entries[reported.Request]
	if e == nil {
		if s.entries == nil {
			s.entries = map[hemlocktally.Fingerprint]*entry{}
		}
		e = &entry{Suspect: hemlocktally.Suspect{Request: reported.Request, Service: reported.Service}}
	}
	changed := false
	if reported.ClearedAt.After(e.ClearedAt) {
		e.ClearedAt, e.ClearedBy, changed = reported.ClearedAt, reported.ClearedBy, true
	}
	for _, crash := range reported.Crashes {
		changed = e.add(crash) || changed
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c hemlocktally.TargetCrash) bool { return !c.At.After(e.ClearedAt) })
	if !changed || (len(e.Crashes) == 0 && e.ClearedAt.IsZero()) {
		return nil
	}
	s.makeRoom(e)
	s.version++
	e.changed = s.version
	e.shared = e.shared || e.independentCrashes() >= crashesToShare
	return e.updateHeld()
}

// add adds a crash, or the earlier report of a known one, and keeps the crashes in order. It
// reports whether it did.
func (e *entry) add(crash hemlocktally.TargetCrash) bool {
	same := func(known hemlocktally.TargetCrash) bool {
		return known.Target == crash.Target && known.Started == crash.Started
	}
	if !crash.At.After(e.ClearedAt) || slices.ContainsFunc(e.Crashes, same) {
		return false
	}
	at, _ := slices.BinarySearchFunc(e.Crashes, crash, func(a, b hemlocktally.TargetCrash) int { return a.At.Compare(b.At) })
	if len(e.Crashes) >= maxCrashes && at <= crashesToHold {
		return false // The first and the latest crashes are kept.
	}
	e.Crashes = slices.Insert(e.Crashes, at, crash)
	if len(e.Crashes) > maxCrashes {
		e.Crashes = slices.Delete(e.Crashes, crashesToHold, crashesToHold+1)
	}
	return true
}

// independentCrashes counts the crashes that have no common cause.
func (e *entry) independentCrashes() int {
	count := 0
	var last time.Time
	for _, crash := range e.Crashes {
		if count == 0 || crash.At.Sub(last) >= commonCause {
			count++
			last = crash.At
		}
	}
	return count
}

// heldUntil returns until when the request is held back; zero means that it is not.
func (e *entry) heldUntil() time.Time {
	crashes := e.independentCrashes()
	if crashes < crashesToHold {
		return time.Time{}
	}
	hold := firstHold
	for range crashes - crashesToHold {
		hold = min(2*hold, maxHold)
	}
	return e.Crashes[len(e.Crashes)-1].At.Add(hold)
}

// updateHeld returns the command for a request that is held back, or released, since the last
// call.
func (e *entry) updateHeld() []any {
	until := e.heldUntil()
	held := !until.IsZero()
	if held == e.held {
		return nil
	}
	e.held = held
	if held {
		return []any{HoldCmd{Suspect: e.copy(), Until: until}}
	}
	return []any{ReleaseCmd{Suspect: e.copy()}}
}

func (e *entry) copy() hemlocktally.Suspect {
	suspect := e.Suspect
	suspect.Crashes = slices.Clone(e.Crashes)
	return suspect
}

// Verdict returns the verdict on a request, with what is known of it and until when it is held
// back.
func (s *State) Verdict(request hemlocktally.Fingerprint, now time.Time) (verdict hemlocktally.Verdict, suspect hemlocktally.Suspect, until time.Time) {
	e := s.entries[request]
	if e == nil {
		return hemlocktally.VerdictSend, suspect, until
	}
	until = e.heldUntil()
	switch {
	case until.IsZero():
		return hemlocktally.VerdictSend, suspect, until
	case now.Before(until):
		return hemlocktally.VerdictHold, e.copy(), until
	default:
		return hemlocktally.VerdictTrial, e.copy(), until
	}
}

// startTrial grants the trial of a request to one ticket at a time.
func (s *State) startTrial(msg TrialMsg, now time.Time) []any {
	e := s.entries[msg.Request]
	if e == nil {
		return []any{GrantTrialCmd{}} // The asking instance knows of crashes that are forgotten here.
	}
	if until := e.heldUntil(); now.Before(until) || (now.Before(e.trialUntil) && e.trialTicket != msg.Ticket) {
		return nil
	}
	if !now.Before(e.trialUntil) {
		e.trialTicket, e.trialUntil = msg.Ticket, now.Add(trialTime)
	}
	return []any{GrantTrialCmd{}}
}

// Since returns the requests that changed after the version, those with the most crashes first.
// With sharedOnly, it leaves out those that not all instances have to know.
func (s *State) Since(version uint32, sharedOnly bool) []hemlocktally.Suspect {
	var suspects []hemlocktally.Suspect
	for _, e := range s.entries {
		if e.changed > version && (e.shared || !sharedOnly) {
			suspects = append(suspects, e.copy())
		}
	}
	slices.SortFunc(suspects, func(a, b hemlocktally.Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), slices.Compare(a.Request[:], b.Request[:]))
	})
	return suspects[:min(len(suspects), maxSuspectsTold)]
}

// Counts returns how many requests have crashed a target lately, and how many are held back.
func (s *State) Counts() (suspected, held int) {
	for _, e := range s.entries {
		if len(e.Crashes) > 0 {
			suspected++
		}
		if e.held {
			held++
		}
	}
	return suspected, held
}

// forget drops the entries that are outdated.
func (s *State) forget(now time.Time) []any {
	if len(s.entries) == 0 || now.Sub(s.forgottenAt) < forgetInterval {
		return nil
	}
	s.forgottenAt = now
	var commands []any
	for request, e := range s.entries {
		if !now.After(e.expires()) {
			continue
		}
		if e.held {
			commands = append(commands, ReleaseCmd{Suspect: e.copy()})
		}
		delete(s.entries, request)
	}
	if len(s.entries) == 0 {
		s.version = 0
		s.Run++
	}
	return commands
}

// expires returns when the entry can be forgotten.
func (e *entry) expires() time.Time {
	last := e.ClearedAt
	if n := len(e.Crashes); n > 0 && e.Crashes[n-1].At.After(last) {
		last = e.Crashes[n-1].At
	}
	if until := e.heldUntil(); until.After(last) {
		last = until
	}
	return last.Add(suspicionTTL)
}

// makeRoom adds the entry, in place of the one with the fewest crashes if there are too many.
func (s *State) makeRoom(added *entry) {
	s.entries[added.Request] = added
	if len(s.entries) <= maxSuspects {
		return
	}
	var least *entry
	for _, e := range s.entries {
		if e != added && (least == nil || e.weaker(least)) {
			least = e
		}
	}
	delete(s.entries, least.Request)
}

// weaker reports whether the entry is worth less than another one.
func (e *entry) weaker(than *entry) bool {
	if c := cmp.Compare(e.independentCrashes(), than.independentCrashes()); c != 0 {
		return c < 0
	}
	return e.expires().Before(than.expires())
}
