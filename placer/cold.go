package placer

import (
	"math"
	"time"
)

// coldWindow is the time over which the calls of a cold target are bounded.
const coldWindow = time.Second

// recentGrants counts the grants on a target, also while it is not known to be cold: a target
// that turns cold has had calls in the same second.
type recentGrants struct {
	issued     []time.Time // issued holds when grants were issued, of the last coldWindow at least.
	sinceProbe int         // sinceProbe counts the grants since the target last answered a probe.
}

// add records a grant. The list is shortened only at times, so that this costs little.
func (r *recentGrants) add(now time.Time) {
	const shortenAt = 64
	if len(r.issued) >= shortenAt {
		r.shorten(now)
	}
	r.issued = append(r.issued, now)
	r.sinceProbe++
}

func (r *recentGrants) shorten(now time.Time) {
	kept := r.issued[:0]
	for _, at := range r.issued {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	r.issued = kept
}

// allowsColdCall reports whether a cold target may get one more call in the current second. It
// allows at least one call per second unless the share is zero.
func (s *State) allowsColdCall(t *targetState, now time.Time) bool {
	share := s.coldShare(now)
	if s.Alone || share <= 0 {
		return false
	}
	t.recent.shorten(now)
	return len(t.recent.issued) < coldAllowance(s.coldRate(), share)
}

// recordRequest notes a request. Before the first one and in a pause another owner may have
// been asked.
func (s *State) recordRequest(now time.Time) {
	if s.requestedAt.IsZero() || now.Sub(s.requestedAt) >= coldWindow {
		s.activeSince = now
	}
	s.requestedAt = now
}

// coldShare returns the share of a cold target's rate that this owner may use. Owners may
// follow each other within one second, and what an earlier one has used is not known, so an
// owner uses half of its share in the first second in which it is asked. All owners but the
// first use half of the share together, since the first one may be asked too.
func (s *State) coldShare(now time.Time) float64 {
	share := s.Bounds.ColdShare
	if s.ownerRank.Further {
		share /= 2 * float64(max(1, s.ownerRank.Others))
	}
	if now.Sub(s.activeSince) < coldWindow {
		share /= 2
	}
	return share
}

func coldAllowance(perSecond, share float64) int {
	return int(math.Max(1, math.Floor(perSecond*share)))
}

func (s *State) coldRate() float64 {
	if s.service.ColdPerSecond > 0 {
		return s.service.ColdPerSecond
	}
	return 1
}

// probeBusy returns the command to probe a target that has had as many grants since its last
// answer to a probe as a cold target may get in a second. Only answers to probes tell that a
// target is cold, and one that is kept busy is never probed for its load: responses to calls
// keep its reports recent.
func (s *State) probeBusy(t *targetState, now time.Time) []any {
	// A target that reports no load may let a probe wait for a slot.
	reportsLoad := !t.paceAt.IsZero()
	if s.Alone || s.service.ColdPerSecond <= 0 || s.service.ProbePath == "" || !reportsLoad || t.probing || t.cold(now) {
		return nil
	}
	if t.recent.sinceProbe < coldAllowance(s.coldRate(), s.Bounds.ColdShare) || now.Sub(t.probedAt) < s.probeInterval(t) {
		return nil
	}
	return []any{s.probe(t, now)}
}
