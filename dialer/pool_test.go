package dialer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// poolWorld runs a pool with links that are only times.
type poolWorld struct {
	pool    pool
	share   int
	now     time.Time
	inUse   []*link
	dialing int
	waits   []chan struct{}
}

func (w *poolWorld) take(t *rapid.T) {
	proven := rapid.Bool().Draw(t, "proven")
	choice := w.pool.take(proven, provenFor, w.share, w.now)
	switch {
	case choice.link != nil:
		if proven && w.now.Sub(choice.link.heard()) > provenFor {
			t.Fatalf("a link that was quiet for %s is not proven", w.now.Sub(choice.link.heard()))
		}
		w.inUse = append(w.inUse, choice.link)
	case choice.dial:
		if w.pool.open > w.share {
			t.Fatalf("%d links in a share of %d", w.pool.open, w.share)
		}
		w.dialing++
	default:
		w.waits = append(w.waits, choice.wait)
	}
}

func (w *poolWorld) dialed(t *rapid.T) {
	if w.dialing == 0 {
		t.Skip()
	}
	w.dialing--
	if rapid.Bool().Draw(t, "failed") {
		w.pool.lost()
		return
	}
	w.inUse = append(w.inUse, &link{conn: &trackedConn{}})
}

func (w *poolWorld) release(t *rapid.T) {
	if len(w.inUse) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(w.inUse)-1).Draw(t, "link")
	l := w.inUse[i]
	w.inUse = append(w.inUse[:i], w.inUse[i+1:]...)
	if rapid.Bool().Draw(t, "broken") {
		w.pool.lost()
		return
	}
	now := w.now
	l.conn.heard.Store(&now)
	w.pool.put(l)
}

// retry lets the requests that were woken try again, and one give up.
func (w *poolWorld) retry(t *rapid.T) {
	waits := w.waits
	w.waits = nil
	for _, wait := range waits {
		select {
		case <-wait:
			w.take(t)
		default:
			w.waits = append(w.waits, wait)
		}
	}
}

func (w *poolWorld) giveUp(t *rapid.T) {
	if len(w.waits) == 0 {
		t.Skip()
	}
	w.pool.forget(w.waits[0])
	w.waits = w.waits[1:]
}

func (w *poolWorld) check(t *rapid.T) {
	if known := len(w.pool.idle) + len(w.inUse) + w.dialing; w.pool.open != known {
		t.Fatalf("the pool counts %d links, there are %d", w.pool.open, known)
	}
	if len(w.pool.idle) > maxIdle {
		t.Fatalf("%d idle links", len(w.pool.idle))
	}
	woken := 0
	for _, wait := range w.waits {
		woken += len(wait)
	}
	if asleep := len(w.waits) - woken; asleep > 0 && woken == 0 && (len(w.pool.idle) > 0 || w.pool.open < w.share) {
		t.Fatalf("%d requests wait in vain: idle %d, open %d, share %d", asleep, len(w.pool.idle), w.pool.open, w.share)
	}
}

func TestPoolCountsLinksAndWakesWaiters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &poolWorld{share: rapid.IntRange(1, 4).Draw(t, "share"), now: time.Unix(1_800_000_000, 0)}
		t.Repeat(map[string]func(*rapid.T){
			"take":    w.take,
			"dialed":  w.dialed,
			"release": w.release,
			"retry":   w.retry,
			"giveUp":  w.giveUp,
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"sweep": func(*rapid.T) { w.pool.dropHeardBefore(w.now.Add(-provenFor)) },
			"":      w.check,
		})
	})
}
