package dialer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// poolModel drives a pool with links that have no real connection, only the time of
// the last read.
type poolModel struct {
	pool    pool
	share   int
	now     time.Time
	inUse   []*link
	dialing int
	waits   []chan struct{}
}

func (m *poolModel) take(t *rapid.T) {
	proven := rapid.Bool().Draw(t, "proven")
	fresh := rapid.Bool().Draw(t, "fresh")
	result := m.pool.take(proven, fresh, defaultProvenFor, m.share, m.now)
	switch {
	case result.link != nil && fresh:
		t.Fatal("took an idle link as a fresh one")
	case result.link != nil:
		if proven && m.now.Sub(result.link.lastReceived()) > defaultProvenFor {
			t.Fatalf("took a link as proven that received nothing for %s", m.now.Sub(result.link.lastReceived()))
		}
		m.inUse = append(m.inUse, result.link)
	case result.dial:
		if m.pool.total > m.share {
			t.Fatalf("pool has %d links, share is %d", m.pool.total, m.share)
		}
		m.dialing++
	default:
		m.waits = append(m.waits, result.wait)
	}
}

func (m *poolModel) finishDial(t *rapid.T) {
	if m.dialing == 0 {
		t.Skip()
	}
	m.dialing--
	if rapid.Bool().Draw(t, "failed") {
		m.pool.releaseSlot()
		return
	}
	m.inUse = append(m.inUse, &link{conn: &trackedConn{}})
}

func (m *poolModel) release(t *rapid.T) {
	if len(m.inUse) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.inUse)-1).Draw(t, "link")
	l := m.inUse[i]
	m.inUse = append(m.inUse[:i], m.inUse[i+1:]...)
	if rapid.Bool().Draw(t, "broken") {
		m.pool.releaseSlot()
		return
	}
	now := m.now
	l.conn.lastRead.Store(&now)
	m.pool.put(l)
}

// retry lets the requests that were woken try again.
func (m *poolModel) retry(t *rapid.T) {
	waits := m.waits
	m.waits = nil
	for _, wait := range waits {
		select {
		case <-wait:
			m.take(t)
		default:
			m.waits = append(m.waits, wait)
		}
	}
}

func (m *poolModel) giveUp(t *rapid.T) {
	if len(m.waits) == 0 {
		t.Skip()
	}
	m.pool.cancelWait(m.waits[0])
	m.waits = m.waits[1:]
}

func (m *poolModel) check(t *rapid.T) {
	if expected := len(m.pool.idle) + len(m.inUse) + m.dialing; m.pool.total != expected {
		t.Fatalf("pool counts %d links, want %d", m.pool.total, expected)
	}
	if len(m.pool.idle) > maxIdlePerTarget {
		t.Fatalf("pool has %d idle links, more than allowed", len(m.pool.idle))
	}
	woken := 0
	for _, wait := range m.waits {
		woken += len(wait)
	}
	if blocked := len(m.waits) - woken; blocked > 0 && woken == 0 && (len(m.pool.idle) > 0 || m.pool.total < m.share) {
		t.Fatalf("%d requests are blocked although a link is available: idle %d, open %d, share %d", blocked, len(m.pool.idle), m.pool.total, m.share)
	}
}

func TestPoolCountsLinksAndWakesWaiters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &poolModel{share: rapid.IntRange(1, 4).Draw(t, "share"), now: time.Unix(1_800_000_000, 0)}
		t.Repeat(map[string]func(*rapid.T){
			"take":    m.take,
			"dialed":  m.finishDial,
			"release": m.release,
			"retry":   m.retry,
			"giveUp":  m.giveUp,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"sweep": func(*rapid.T) { m.pool.removeStale(m.now.Add(-defaultProvenFor)) },
			"":      m.check,
		})
	})
}
