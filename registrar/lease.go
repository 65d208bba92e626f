package registrar

import "time"

// leaseMargin is taken off the end of a lease, so that it is over for its
// holder before it is over for the store and for anyone else.
const leaseMargin = 500 * time.Millisecond

// heldLease is a lease of the store as its holder counts it.
type heldLease struct {
	id  string
	end time.Time // end is on the local monotonic clock, with the margin off.
}

// leaseFrom returns the lease that a grant or renewal gives, counted from the
// moment before the call was sent.
func leaseFrom(id string, sent time.Time, ttl time.Duration) heldLease {
	return heldLease{id: id, end: sent.Add(ttl - leaseMargin)}
}

// live reports whether the lease still holds at the time.
func (l heldLease) live(now time.Time) bool { return l.id != "" && now.Before(l.end) }

// Lease returns the instance's lease of the store and its end on the local
// monotonic clock. It returns false once the lease has lapsed or where there
// was none. A lease after a lapse has another ID, so that the ID serves as an
// epoch: the end of one ID is never extended after it has passed.
func (r *Registrar) Lease() (id string, end time.Time, ok bool) {
	lease := r.lease.Load()
	if lease == nil || !lease.live(time.Now()) {
		return "", time.Time{}, false
	}
	return lease.id, lease.end, true
}
