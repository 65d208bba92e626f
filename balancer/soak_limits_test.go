package balancer_test

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hemlocktally/imitator"
)

// limitToldAfter is how long after it passed on a response that names a limit an instance has
// to keep the limit.
const limitToldAfter = 500 * time.Millisecond

// limitLedger records which limits the targets of a soak named, which incarnations of instances
// they told, and which instance each call was sent to.
type limitLedger struct {
	mu      sync.Mutex
	periods map[*imitator.Upstream][]*limitPeriod
	told    map[toldKey]time.Time
	sentTo  map[string]sentCall
}

// limitPeriod is a time in which a target named one limit. Until is zero while it still does.
type limitPeriod struct {
	perSecond   float64
	from, until time.Time
}

type toldKey struct{ upstream, incarnation string }

// sentCall is the instance and the incarnation of it that a call was sent to.
type sentCall struct {
	process     *process
	incarnation string
}

// name makes the upstream name the limit from now on, or none if it is zero.
func (l *limitLedger) name(u *imitator.Upstream, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.periods == nil {
		l.periods = map[*imitator.Upstream][]*limitPeriod{}
	}
	if n := len(l.periods[u]); n > 0 && l.periods[u][n-1].until.IsZero() {
		l.periods[u][n-1].until = now
	}
	text := ""
	if perSecond > 0 {
		text = strconv.FormatFloat(perSecond, 'g', -1, 64)
		l.periods[u] = append(l.periods[u], &limitPeriod{perSecond: perSecond, from: now})
	}
	u.ChangeFaults(func(f *imitator.UpstreamFaults) { f.Limit = text })
}

// naming reports whether the upstream names a limit now.
func (l *limitLedger) naming(u *imitator.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.periods[u])
	return n > 0 && l.periods[u][n-1].until.IsZero()
}

// nameMost makes two thirds of the upstreams, of which the others are left out, name limits
// unless they do. So many do that what their limits allow is wanted.
func (l *limitLedger) nameMost(upstreams []*imitator.Upstream, leftOut int, random *rand.Rand) {
	const third = 3
	for n, u := range upstreams {
		if n%third != leftOut%third && !l.naming(u) {
			l.nameLimits(u, random)
		}
	}
}

// nameLimits makes the upstream name a limit, then twice another one, then none. A period lasts
// long enough for the bound to hold in its second half.
func (l *limitLedger) nameLimits(u *imitator.Upstream, random *rand.Rand) {
	limits := []float64{0.4, 1, 3, 10}
	first, second, third := limits[random.IntN(4)], limits[random.IntN(4)], limits[random.IntN(4)]
	span := time.Duration(4000+random.IntN(2000)) * time.Millisecond
	l.name(u, first)
	time.AfterFunc(span, func() { l.name(u, second) })
	time.AfterFunc(2*span, func() { l.name(u, third) })
	time.AfterFunc(3*span, func() { l.name(u, 0) })
}

func (l *limitLedger) recordSent(p *process, incarnation, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sentTo == nil {
		l.sentTo = map[string]sentCall{}
	}
	l.sentTo[id] = sentCall{process: p, incarnation: incarnation}
}

// recordResponse records that the incarnation passed on a response that names a limit.
func (l *limitLedger) recordResponse(header http.Header, upstream, incarnation string) {
	if !imitator.NamesLimit(header) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := toldKey{upstream: upstream, incarnation: incarnation}
	if l.told == nil {
		l.told = map[toldKey]time.Time{}
	}
	if _, told := l.told[key]; !told {
		l.told[key] = time.Now()
	}
}

// check compares what each target got in each period with what its limit allows, counting the
// calls of instances that it had told and that were not killed, frozen or cut off.
func (l *limitLedger) check(problem func(format string, values ...any)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for u, periods := range l.periods {
		arrivals := u.ArrivalList()
		for _, period := range periods {
			var counted []imitator.Arrival
			for _, a := range arrivals {
				if l.counts(u, period, a) {
					counted = append(counted, a)
				}
			}
			allowed := int(1.5*period.perSecond*limitWindow.Seconds()) + limitSlack
			if got := imitator.MostArrivals(counted, period.from.Add(limitSettle), limitWindow); got > allowed {
				problem("%s got %d requests in %s for a limit of %g, %d allowed", u.ID, got, limitWindow, period.perSecond, allowed)
			}
		}
	}
}

func (l *limitLedger) counts(u *imitator.Upstream, period *limitPeriod, a imitator.Arrival) bool {
	inPeriod := !a.At.Before(period.from.Add(limitToldAfter)) && (period.until.IsZero() || a.At.Before(period.until))
	sent := l.sentTo[a.ID]
	told, wasTold := l.told[toldKey{upstream: u.ID, incarnation: sent.incarnation}]
	return inPeriod && wasTold && a.At.Sub(told) >= limitToldAfter && sent.process.undisturbed(a.At)
}
