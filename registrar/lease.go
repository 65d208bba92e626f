package registrar

import (
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
)

const (
	// DefaultLeaseTTL is how long the store keeps a record unrenewed.
	DefaultLeaseTTL = 6 * time.Second
	// leaseMargin is taken off the end of a lease, so that it is over for its
	// holder before it is over for the store and for anyone else.
	leaseMargin = 500 * time.Millisecond
	// renewalsPerTTL is how often a lease is renewed within its time.
	renewalsPerTTL = 3
	// retryInterval lies between attempts after a failure.
	retryInterval = 250 * time.Millisecond
)

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

// keeper holds the lease of the instance's record and when to act on it.
type keeper struct {
	lease  heldLease
	next   time.Time // next is when to register or renew.
	busy   bool      // busy is set while a call for the lease is under way.
	before bool      // before is set once the present incarnation has had a lease.
}

func (k *keeper) drop() { k.lease = heldLease{} }

func (k *keeper) failed(now time.Time) {
	k.busy = false
	k.next = now.Add(retryInterval)
}

func (s *State) leaseTTL() time.Duration {
	if s.LeaseTTL <= 0 {
		return DefaultLeaseTTL
	}
	return s.LeaseTTL
}

// keepLease registers the instance, renews its lease, and registers it anew as
// another incarnation once the lease has lapsed by the local clock.
func (s *State) keepLease(now time.Time) []Cmd {
	k := &s.keeper
	if s.departed || k.busy || now.Before(k.next) {
		return nil
	}
	if k.lease.live(now) {
		k.busy = true
		return []Cmd{RenewCmd{Lease: k.lease.id}}
	}
	if k.before {
		s.reincarnate(s.Self.Incarnation, now)
	}
	k.drop()
	k.busy = true
	record := s.Self
	record.State = hemlocktally.InstanceServing // Peers report the present state; the record stays as it is.
	return []Cmd{RegisterCmd{Record: record}}
}

// reincarnate gives the instance a new incarnation, above the one given
// whatever the clock says. Its peers take it for a replacement of the old one.
func (s *State) reincarnate(above string, now time.Time) {
	at := ulid.Timestamp(now)
	if old, err := ulid.ParseStrict(above); err == nil {
		at = max(at, old.Time()+1)
	}
	next, err := ulid.New(at, s.entropy)
	if err != nil {
		return
	}
	s.Self.Incarnation = next.String()
	s.keeper.before = false
	s.keeper.drop()
	s.bump()
	s.hurry()
}

func (s *State) registered(msg RegisteredMsg, now time.Time) []Cmd {
	k := &s.keeper
	k.busy = false
	s.freeze(false)
	if msg.Incarnation != s.Self.Incarnation || s.departed {
		return nil
	}
	k.lease = leaseFrom(msg.Lease, msg.Sent, s.leaseTTL())
	k.before = true
	k.next = now.Add(s.leaseTTL() / renewalsPerTTL)
	s.nextList = now
	return nil
}

// registerFailed waits, above the incarnation that stood in the way, if any.
func (s *State) registerFailed(msg RegisterFailedMsg, now time.Time) {
	s.keeper.failed(now)
	if msg.Above != "" {
		s.reincarnate(msg.Above, now)
		return
	}
	s.freeze(true)
}

// renewed extends a lease that still lives. After its end by the local clock
// the same lease is never used again, even if the store renewed it.
func (s *State) renewed(msg RenewedMsg, now time.Time) []Cmd {
	k := &s.keeper
	if msg.Lease != k.lease.id {
		return nil
	}
	k.busy = false
	if msg.Peer == "" {
		s.freeze(msg.Result == RenewFailed)
	}
	switch msg.Result {
	case RenewDone:
		k.next = now.Add(s.leaseTTL() / renewalsPerTTL)
		if renewal := leaseFrom(msg.Lease, msg.Sent, s.leaseTTL()); k.lease.live(now) && renewal.end.After(k.lease.end) {
			k.lease = renewal
		}
		return nil
	case RenewLapsed:
		k.drop()
		k.next = now
		return nil
	}
	k.failed(now)
	return s.relay(msg, now)
}

// relay asks a random peer to renew the lease that the store did not answer for.
func (s *State) relay(msg RenewedMsg, now time.Time) []Cmd {
	if msg.Peer != "" || !s.keeper.lease.live(now) {
		return nil
	}
	var able []*member
	for _, m := range s.ordered() {
		if !m.silent() {
			able = append(able, m)
		}
	}
	if len(able) == 0 {
		return nil
	}
	peer := able[s.random.IntN(len(able))]
	s.keeper.busy = true
	return []Cmd{RelayCmd{Lease: msg.Lease, Peer: peer.instance.ID, Address: peer.instance.PeerAddress}}
}

// depart ends the lease for the instance itself; peers are told that it is gone.
func (s *State) depart() []Cmd {
	s.departed = true
	s.keeper.drop()
	s.report(hemlocktally.InstanceGone)
	var cmds []Cmd
	for _, m := range s.ordered() {
		if len(cmds) < departLimit && !m.silent() {
			cmds = append(cmds, BeatCmd{To: m.instance.ID, Address: m.instance.PeerAddress, Beat: s.message(string(m.instance.ID), false)})
		}
	}
	return cmds
}

// departLimit bounds the peers that a departing instance tells itself.
const departLimit = 8
