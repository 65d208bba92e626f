package runner

import (
	"context"
	"time"
)

const (
	settleTick  = 10 * time.Millisecond
	settlePause = 250 * time.Millisecond // settlePause is the gap between two ticks that shows that the process was paused.
)

// settling is the time between the moment at which a leaving instance is no
// longer ready and the moment at which it closes its listener. A pause of the
// process does not count: calls that arrived meanwhile still wait to be
// accepted, and the platform's balancer could not see that the instance leaves.
type settling struct {
	span time.Duration
	left time.Duration
	last time.Time
}

// update takes the time of a tick and reports whether the instance has settled.
// A pause starts the span anew.
func (s *settling) update(now time.Time) bool {
	gap := now.Sub(s.last)
	if s.last.IsZero() || gap > settlePause {
		s.left = s.span
	} else {
		s.left -= gap
	}
	s.last = now
	return s.left <= 0
}

// settle waits until the instance has settled or the context ends.
func settle(ctx context.Context, span time.Duration) {
	state := settling{span: span}
	ticker := time.NewTicker(settleTick)
	defer ticker.Stop()
	for !state.update(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
