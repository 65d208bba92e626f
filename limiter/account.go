package limiter

import (
	"math"
	"slices"
	"strings"
	"time"

	"hemlocktally"
)

// account is what an instance knows about the calls of one customer.
type account struct {
	name   hemlocktally.CustomerName
	budget budget
	own    window  // own counts the calls that this instance granted.
	before window  // before counts calls that were granted before this hub started, as far as instances told.
	share  float64 // share is the confirmed part of the quota that this instance may use.
	// proposed is the share that the instance asks the others for; zero if it asks for none.
	proposed float64
	hubs     map[hemlocktally.InstanceID]*hubAccount
	// granted counts all grants, and told those of them that all other hubs have heard of; telling
	// is what told will be once the running round is complete.
	granted, told, telling uint64
	changed                bool // changed is set while the others may know a wrong share.
	toldAt                 time.Time
	toldSum                int // toldSum is the count that was last reported.
	promises               promises
	stats                  Stats
	loggedAt               time.Time
	unlogged               uint64 // unlogged counts the refusals since loggedAt.
}

// hubAccount is what another hub reported about the calls of a customer.
type hubAccount struct {
	window     window
	share      float64
	sequence   uint64
	reportedAt time.Time
	before     int // before is what was granted before this hub started, as instances told it.
	// departed is set once the hub is gone: it grants no more calls.
	departed bool
}

const (
	// reportValidity is the age up to which is used what a hub was told of calls before its start.
	// It is reported each reportInterval.
	reportValidity = 1500 * time.Millisecond
	// demandBuckets is the number of buckets by which the demand at a hub is measured.
	demandBuckets = 10
	// evenPart is the part of the unused quota that is split evenly, so that a hub at which the
	// first calls arrive need not ask for a share first.
	evenPart = 0.3
	// adoptionTime is how long beyond the window after its start a hub takes over what others
	// report of departed hubs. Later it has heard of all of them itself.
	adoptionTime = time.Second
)

// untold returns the number of grants that the other hubs may not have heard of.
func (a *account) untold() float64 { return float64(a.granted - a.told) }

// tellDue reports whether the others should hear of grants before the next round is due.
func (a *account) tellDue() bool { return a.untold() > a.budget.untold/2 }

// hub returns the account of another hub.
func (a *account) hub(id hemlocktally.InstanceID) *hubAccount {
	h := a.hubs[id]
	if h == nil {
		h = &hubAccount{}
		a.hubs[id] = h
	}
	return h
}

// dropDeparted drops the hubs that are gone and whose calls are too old to count.
func (a *account) dropDeparted(bucket int64) {
	for id, h := range a.hubs {
		if h.departed && h.window.count(bucket) == 0 {
			delete(a.hubs, id)
		}
	}
}

// counts returns the calls that the other hubs granted in the window: those of hubs that are
// active, and those of departed ones.
func (a *account) counts(bucket int64) (active, departed float64) {
	for _, h := range a.hubs {
		if h.departed {
			departed += float64(h.window.count(bucket))
		} else {
			active += float64(h.window.count(bucket))
		}
	}
	return active, departed
}

// beforeSum returns what was granted before the hubs knew all counts, as far as instances told
// any of them.
func (a *account) beforeSum(bucket int64, now time.Time) int {
	sum := a.before.count(bucket)
	for _, h := range a.hubs {
		if !h.departed && now.Sub(h.reportedAt) < reportValidity {
			sum = max(sum, h.before)
		}
	}
	return sum
}

// departedReport returns what departed hubs granted.
func (a *account) departedReport(bucket int64) []Departed {
	var list []Departed
	for id, h := range a.hubs {
		if h.departed && h.window.count(bucket) > 0 {
			list = append(list, Departed{Hub: id, Recent: h.window.report(bucket)})
		}
	}
	slices.SortFunc(list, func(a, b Departed) int { return strings.Compare(string(a.Hub), string(b.Hub)) })
	return list
}

// adopt notes the departed hubs that another one reports and that this one does not know.
func (a *account) adopt(list []Departed, bucket int64, now time.Time) {
	for _, d := range list {
		if a.hubs[d.Hub] != nil {
			continue
		}
		h := &hubAccount{departed: true, reportedAt: now}
		h.window.load(d.Recent, bucket)
		a.hubs[d.Hub] = h
	}
}

// depart marks a run of a hub as gone. grew tells that it may have granted calls after its last
// report; they count as granted now. Its counts are kept under the name of the run, since the hub
// may come back.
func (a *account) depart(id, run hemlocktally.InstanceID, total float64, grew bool, bucket int64) {
	h := a.hubs[id]
	if h == nil {
		return
	}
	if grew {
		room := max(h.share*total, a.budget.newcomer) - float64(h.window.count(bucket))
		h.window.add(bucket, uint32(math.Ceil(max(0, min(a.budget.untold, room)))))
	}
	h.departed, h.share = true, 0
	delete(a.hubs, id)
	a.hubs[run] = h
}

// wanted returns the share that the instance should have: what it has granted, and a part of
// the unused quota that follows the demand.
func (a *account) wanted(bucket int64, total float64) float64 {
	own := float64(a.own.count(bucket))
	active, departed := a.counts(bucket)
	room := max(0, total-own-active-departed)
	demand, all, hubs := float64(a.own.latest(demandBuckets)+1), 0.0, 1
	for _, h := range a.hubs {
		if !h.departed {
			all += float64(h.window.latest(demandBuckets) + 1)
			hubs++
		}
	}
	part := evenPart/float64(hubs) + (1-evenPart)*demand/(demand+all)
	return inUnits(min(1, (own+part*room)/total))
}

// idle reports whether nobody has granted a call of the customer within the window.
func (a *account) idle(bucket int64) bool {
	active, departed := a.counts(bucket)
	return a.own.count(bucket) == 0 && active+departed == 0 && a.before.count(bucket) == 0 && a.proposed == 0
}

// promises counts, by bucket, the refused calls that were told to come back then.
type promises struct {
	counts [ringSize]uint32
	head   int64
}

func (p *promises) advance(bucket int64) {
	if bucket-p.head >= ringSize {
		*p = promises{head: bucket}
	}
	for ; p.head < bucket; p.head++ {
		p.counts[position(p.head)] = 0
	}
}

// nextFree returns in how many buckets there is room below the limit for one more call, beside
// those that were told to come back before, and notes the call as one of them.
func (a *account) nextFree(bucket int64, limit, used float64) int64 {
	a.promises.advance(bucket)
	promised := 0.0
	for k := int64(1); k < ringSize; k++ {
		used -= float64(a.own.at(ringSize - k))
		for _, h := range a.hubs {
			used -= float64(h.window.at(ringSize - k))
		}
		promised += float64(a.promises.counts[position(bucket+k)])
		if used+promised+1 <= limit {
			a.promises.counts[position(bucket+k)]++
			return k
		}
	}
	return ringSize
}
