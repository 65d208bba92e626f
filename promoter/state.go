package promoter

import (
	"time"

	"hemlocktally"
)

// State decides on the rollout of one service. Its exported fields are set before the first call.
// It has no lock and reads no clock, so the caller serializes access and passes the time.
type State struct {
	Instance hemlocktally.InstanceID
	Run      string // Run distinguishes this run of the instance from earlier ones.
	Bounds   Bounds

	order       *hemlocktally.RolloutOrder
	orderSeenAt time.Time
	heard       hemlocktally.Rollout // heard is what the follower last heard of the store.
	inferred    hemlocktally.SoftwareVersion
	targetsAt   time.Time // targetsAt is when targets were first known.

	record  hemlocktally.RolloutRecord // record is the last one known, with this decider's changes.
	known   bool                       // known is set if there is a record.
	version hemlocktally.StoreVersion  // version is that of the store's entry, as far as known.
	// generation is the highest generation of the store that is known.
	generation hemlocktally.StoreGeneration
	heardAt    time.Time // heardAt is when another decider's record last changed.
	rank       RankMsg

	dirty         bool // dirty is set if the record has to be written soon.
	writing       bool
	sentSequence  uint64
	acked         uint64 // acked is the sequence of the last record that the store confirmed.
	wroteAt       time.Time
	failingSince  time.Time // failingSince is when the first of the writes failed that failed since the last success.
	retryAt       time.Time
	takenSequence uint64 // takenSequence is the sequence from which the record names this decider.
	statusDone    string
	statusSent    string
	statusRetryAt time.Time

	startedAt time.Time
	used      float64 // used is the number of calls that the new version has got.
	calls     float64
	ceiling   float64 // ceiling is Exposed of the last confirmed record.
	bursting  bool
	rampPart  float64
	rate      rateMeter
	evidence  evidence
	capacity  Capacity

	limitAt     time.Time // limitAt is when limitBad results of the new version were bad.
	evaluatedAt time.Time
	stepAt      time.Time
	stepResults float64
	switchedAt  time.Time // switchedAt is when the store confirmed the switch, or another decider's switch was heard.
	changes     []any
}

// rateMeter measures the calls per second.
type rateMeter struct {
	at     time.Time
	count  float64
	perSec float64
}

// rateWindow is the time over which a rate is measured.
const rateWindow = 500 * time.Millisecond

func (r *rateMeter) advance(now time.Time) {
	if r.at.IsZero() {
		r.at = now
	}
	if passed := now.Sub(r.at); passed >= rateWindow {
		r.perSec = (r.perSec + r.count/passed.Seconds()) / 2
		r.at, r.count = now, 0
	}
}

// Update applies one message at the given time and returns the commands to execute.
func (s *State) Update(msg any, now time.Time) []any {
	if !s.Bounds.Enabled() {
		return nil
	}
	switch msg := msg.(type) {
	case FleetMsg:
		s.hear(msg, now)
	case RankMsg:
		s.setRank(msg)
	case ResultMsg:
		s.addResult(msg, now)
	case WrittenMsg:
		s.confirm(msg, now)
	case ConflictMsg:
		s.resolve(msg, now)
	case WriteFailedMsg:
		s.fail(now)
	case StatusMsg:
		s.noteStatus(msg, now)
	case TickMsg:
		s.capacity = msg.Capacity
	}
	s.rate.advance(now)
	commands := s.advance(now)
	commands = append(s.changes, commands...)
	s.changes = nil
	return commands
}

// hear takes over what the store says.
func (s *State) hear(msg FleetMsg, now time.Time) {
	if msg.Rollout.Order != nil && (s.order == nil || *s.order != *msg.Rollout.Order) {
		s.orderSeenAt = now
	}
	s.order, s.heard = msg.Rollout.Order, msg.Rollout
	if len(msg.Targets) > 0 {
		if s.targetsAt.IsZero() {
			s.targetsAt = now
		}
		s.inferred = msg.Rollout.VersionInUse(msg.Targets)
	}
	record := msg.Rollout.Record
	switch {
	case record == nil:
		if msg.Rollout.Unreadable && !s.known {
			s.version = msg.Rollout.At.Version
		}
	case !s.known || record.Sequence > s.record.Sequence || (record.Sequence == s.record.Sequence && record.Decider != s.record.Decider):
		if !s.writing || record.Decider != s.decider() {
			s.adopt(*record, msg.Rollout.At.Version, now)
		}
	}
	s.noteGeneration(msg.Rollout.At, now)
}

// noteGeneration writes the record again if the store was restored from a backup, which may lack it.
func (s *State) noteGeneration(at hemlocktally.GenerationVersion, now time.Time) {
	restored := s.generation != 0 && at.Generation > s.generation
	s.generation = max(s.generation, at.Generation)
	if restored && s.known && s.rank.First && !isActive(s.record.Phase) {
		s.version = at.Version
		s.take(now)
	}
}

// adopt replaces the own record by one that another decider has written.
func (s *State) adopt(record hemlocktally.RolloutRecord, version hemlocktally.StoreVersion, now time.Time) {
	if s.known && s.mine() && s.record.Phase == hemlocktally.RolloutRolledBack && sameRollout(s.record, record) && isActive(record.Phase) {
		// A rollback prevails over a decider that does not know of it.
		s.record.Sequence, s.version, s.dirty = max(s.record.Sequence, record.Sequence), version, true
		return
	}
	if record.Phase == hemlocktally.RolloutSwitching && (s.record.Phase != hemlocktally.RolloutSwitching || !s.known) {
		s.switchedAt = now
	}
	s.record, s.known, s.version, s.heardAt = record, true, version, now
	s.dirty, s.bursting, s.statusDone = false, false, ""
	s.takenSequence = 0
	s.used, s.calls, s.ceiling = record.Exposed, record.Calls, record.Exposed
	s.startedAt = s.startOf(record, now)
	s.evidence.restore(record.Evidence)
	s.stepAt, s.stepResults = now, 0
}

// startOf returns when the order of a record was written. The clocks of instances differ, so the
// time since the write counts only within reason, and the order is no younger than it is known here.
func (s *State) startOf(record hemlocktally.RolloutRecord, now time.Time) time.Time {
	age := min(max(0, now.Sub(time.UnixMilli(record.WrittenAtMs))), record.Duration)
	start := now.Add(-record.Elapsed - age)
	if s.order != nil && !s.isNewOrder() && s.orderSeenAt.Before(start) {
		return s.orderSeenAt
	}
	return start
}

func sameRollout(a, b hemlocktally.RolloutRecord) bool {
	return a.Target == b.Target && a.Order == b.Order
}

func isActive(phase hemlocktally.RolloutPhase) bool {
	return phase == hemlocktally.RolloutRunning || phase == hemlocktally.RolloutSwitching
}

func (s *State) decider() string { return string(s.Instance) + "/" + s.Run }

func (s *State) mine() bool { return s.known && s.record.Decider == s.decider() }

func (s *State) setRank(msg RankMsg) {
	if s.rank.First && !msg.First {
		s.bursting = false
	}
	s.rank = msg
}

// advance acts on the state at the given time.
func (s *State) advance(now time.Time) []any {
	switch {
	case !s.rank.First && !s.backsUp(now):
		return nil
	case s.waitsForDecider(now):
		return nil
	}
	s.takeOver(now)
	s.followOrder(now)
	switch s.record.Phase {
	case hemlocktally.RolloutRunning:
		s.run(now)
	case hemlocktally.RolloutSwitching:
		s.finish(now)
	case hemlocktally.RolloutIdle, hemlocktally.RolloutCompleted, hemlocktally.RolloutRolledBack:
	}
	return append(s.write(now), s.tellStatus(now)...)
}

// backsUp reports whether this instance, which is not the first owner, completes a rollout whose
// decider has not done so in time.
func (s *State) backsUp(now time.Time) bool {
	if !s.rank.Member || !s.known || !s.orderKnown() {
		return false
	}
	late := s.record.Phase == hemlocktally.RolloutSwitching && now.Sub(s.switchedAt) >= backupTime
	return late || (s.mine() && s.record.Phase == hemlocktally.RolloutCompleted && s.statusDone != s.statusKey())
}

// orderKnown reports whether the record is that of the order.
func (s *State) orderKnown() bool { return s.order != nil && !s.isNewOrder() }

// waitsForDecider reports whether another instance is still deciding.
func (s *State) waitsForDecider(now time.Time) bool {
	if !s.known || s.mine() || !isActive(s.record.Phase) || !s.rank.First {
		return false
	}
	other, sameInstance := s.record.Decider, false
	for _, member := range s.rank.Members {
		prefix := string(member) + "/"
		if len(other) > len(prefix) && other[:len(prefix)] == prefix {
			sameInstance = member == s.Instance
			return !sameInstance && now.Sub(s.heardAt) < takeoverTime
		}
	}
	return false
}

// takeOver makes this instance the decider of a rollout that another one began.
func (s *State) takeOver(now time.Time) {
	if !s.known || s.mine() || !isActive(s.record.Phase) {
		return
	}
	written := time.UnixMilli(s.record.WrittenAtMs)
	if now.Sub(s.heardAt) > staleTime || now.Sub(written) > staleTime {
		// The decider may have gone on without being able to write.
		s.used += outageShare * max(0, s.budget()-s.used)
	}
	s.ceiling = s.used
	s.take(now)
	s.report(now, "taken over from "+s.heardDecider())
}

func (s *State) heardDecider() string {
	if s.heard.Record == nil {
		return ""
	}
	return s.heard.Record.Decider
}

// take names this instance as the decider in the next record.
func (s *State) take(now time.Time) {
	s.record.Decider, s.known, s.dirty = s.decider(), true, true
	s.takenSequence = max(s.record.Sequence, s.sentSequence) + 1
	s.stepAt, s.stepResults = now, 0
}

// isNewOrder reports whether the order is another one than that of the record. A store that was
// restored from a backup gives other versions to the same order.
func (s *State) isNewOrder() bool {
	o, r := s.order, s.record
	switch {
	case !s.known || r.Phase == hemlocktally.RolloutIdle:
		return true
	case o.At.Generation == r.Order.Generation && o.At.Version <= r.Order.Version:
		return false
	case o.Version != r.Target || o.Duration != r.Duration:
		return true
	}
	return o.At.Generation == r.Order.Generation
}

// followOrder begins, ends or resumes a rollout as the order says.
func (s *State) followOrder(now time.Time) {
	switch {
	case s.order == nil:
		if s.known && isActive(s.record.Phase) {
			s.rollBack(now, "the order was deleted")
			s.record.Withdrawn = true
		}
		if !s.known && !s.targetsAt.IsZero() && now.Sub(s.targetsAt) >= baselineTime {
			s.record = hemlocktally.RolloutRecord{InUse: s.inferred}
			s.take(now)
		}
	case s.isNewOrder():
		if s.known || !s.targetsAt.IsZero() {
			s.begin(now)
		}
	case s.record.Withdrawn:
		s.record.Withdrawn, s.record.Phase, s.record.Reason = false, hemlocktally.RolloutRunning, ""
		s.take(now)
		s.report(now, "the order is back")
	}
}

// begin starts the rollout of a new order.
func (s *State) begin(now time.Time) {
	inUse := s.inferred
	if s.known {
		inUse = s.record.InUse
		if s.record.Phase == hemlocktally.RolloutSwitching {
			inUse = s.record.Previous // The operator was not told to stop the old targets.
		}
	}
	s.record = hemlocktally.RolloutRecord{
		Sequence: s.record.Sequence, InUse: inUse, Previous: inUse, Target: s.order.Version, Phase: hemlocktally.RolloutRunning,
		Order: s.order.At, Duration: s.order.Duration,
	}
	s.evidence.reset()
	s.limitAt = time.Time{}
	s.used, s.calls, s.ceiling, s.rampPart, s.bursting, s.statusDone = 0, 0, 0, 0, false, ""
	s.startedAt = s.orderSeenAt.Add(-noticeTime)
	if s.heard.Unreadable {
		s.used, s.ceiling = s.Bounds.Slack, s.Bounds.Slack // Nothing is known of what has been used.
	}
	s.take(now)
	if s.order.Version == inUse {
		s.record.Phase, s.record.Reason = hemlocktally.RolloutCompleted, "the version is in use"
	}
	s.report(now, s.record.Reason)
}

// rollBack takes the calls from the new version.
func (s *State) rollBack(now time.Time, reason string) {
	s.record.InUse, s.record.Phase, s.record.Reason, s.dirty = s.record.Previous, hemlocktally.RolloutRolledBack, reason, true
	s.report(now, reason)
}

func (s *State) report(now time.Time, reason string) {
	s.changes = append(s.changes, ChangeCmd{
		Version: s.record.Target, Phase: s.record.Phase, Step: s.record.Step, Reason: reason, Report: s.Report(now),
	})
}

// Report returns the figures of the rollout.
func (s *State) Report(now time.Time) Report {
	r := Report{Phase: s.record.Phase, Deciding: s.rank.First && s.mine(), Calls: s.calls, Exposed: s.used, Bad: s.evidence.bad()}
	if isActive(s.record.Phase) {
		r.Share, r.Remaining = s.share(now), s.remaining(now)
	}
	return r
}

// InUse returns the version whose targets serve the calls.
func (s *State) InUse() hemlocktally.SoftwareVersion {
	if s.known {
		return s.record.InUse
	}
	return s.inferred
}

// Candidate returns the version that gets the calls for which Assign returns true. It returns false
// if this instance does not decide or no rollout is running.
func (s *State) Candidate() (version hemlocktally.SoftwareVersion, ok bool) {
	return s.record.Target, s.rank.First && s.mine() && s.record.Phase == hemlocktally.RolloutRunning
}

// IsNew reports whether results of targets of the version are those of the new version.
func (s *State) IsNew(version hemlocktally.SoftwareVersion) bool {
	return isActive(s.record.Phase) && version == s.record.Target
}

// IsOld reports whether results of targets of the version are those of the old version.
func (s *State) IsOld(version hemlocktally.SoftwareVersion) bool {
	if isActive(s.record.Phase) {
		return version == s.record.Previous
	}
	return version == s.InUse()
}

// Decides reports whether this instance is the one to decide.
func (s *State) Decides() bool { return s.rank.First }

// Canary reports whether the new version gets only the calls of the canary phase.
func (s *State) Canary() bool { return s.record.Step == 0 }

// Active reports whether the state has to be told the time often.
func (s *State) Active() bool {
	return s.order != nil && (s.isNewOrder() || isActive(s.record.Phase)) || s.dirty || s.writing
}

// Deciding returns the services among the given rollouts that need a decider.
func Deciding(rollout hemlocktally.Rollout) bool {
	if rollout.Order == nil {
		return rollout.Record != nil && isActive(rollout.Record.Phase)
	}
	return rollout.Record == nil || rollout.Record.Order != rollout.Order.At || isActive(rollout.Record.Phase)
}
