package registrar

import (
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
)

const (
	// DefaultLeaseTTL is how long the store keeps a record whose lease is not renewed.
	DefaultLeaseTTL = 6 * time.Second
	// leaseMargin is subtracted from the end of a lease, so that the holder treats it
	// as expired before the store and any other instance do.
	leaseMargin = 500 * time.Millisecond
	// renewalsPerTTL is how many times a lease is renewed per TTL.
	renewalsPerTTL = 3
	// retryInterval is the wait between attempts after a failure.
	retryInterval = 250 * time.Millisecond
)

// heldLease is a lease of the store, with its end as the holder computes it.
type heldLease struct {
	id  string
	end time.Time // end is on the local monotonic clock, with leaseMargin subtracted.
}

// newHeldLease returns the lease that a grant or renewal gives. Its TTL counts from
// the moment before the call was sent.
func newHeldLease(id string, sent time.Time, ttl time.Duration) heldLease {
	return heldLease{id: id, end: sent.Add(ttl - leaseMargin)}
}

// live reports whether the lease is valid at the given time.
func (l heldLease) live(now time.Time) bool { return l.id != "" && now.Before(l.end) }

// leaseState holds the lease of the instance's record and the time of the next call for it.
type leaseState struct {
	lease       heldLease
	nextAttempt time.Time // nextAttempt is when to register or renew next.
	busy        bool      // busy is set while a call for the lease is in flight.
	registered  bool      // registered is set once the current incarnation has had a lease.
}

func (k *leaseState) drop() { k.lease = heldLease{} }

func (k *leaseState) scheduleRetry(now time.Time) {
	k.busy = false
	k.nextAttempt = now.Add(retryInterval)
}

func (s *State) leaseTTL() time.Duration {
	if s.LeaseTTL <= 0 {
		return DefaultLeaseTTL
	}
	return s.LeaseTTL
}

// maintainLease registers the instance and renews its lease. Once the lease has
// expired by the local clock, it registers the instance as a new incarnation.
func (s *State) maintainLease(now time.Time) []Cmd {
	k := &s.leaseState
	if s.departed || k.busy || now.Before(k.nextAttempt) {
		return nil
	}
	if k.lease.live(now) {
		k.busy = true
		return []Cmd{RenewCmd{Lease: k.lease.id}}
	}
	if k.registered {
		s.startIncarnation(s.Self.Incarnation, now)
	}
	k.drop()
	k.busy = true
	record := s.Self
	// The record keeps this state; peers report the current one.
	record.State = hemlocktally.InstanceServing
	return []Cmd{RegisterCmd{Record: record}}
}

// startIncarnation gives the instance a new incarnation that sorts after the given
// one, whatever the clock says. Peers treat it as a replacement of the old one.
func (s *State) startIncarnation(above string, now time.Time) {
	at := ulid.Timestamp(now)
	if old, err := ulid.ParseStrict(above); err == nil {
		at = max(at, old.Time()+1)
	}
	next, err := ulid.New(at, s.entropy)
	if err != nil {
		return
	}
	s.Self.Incarnation = next.String()
	s.leaseState.registered = false
	s.leaseState.drop()
	s.bumpVersion()
	s.expediteRound()
}

func (s *State) handleRegistered(msg RegisteredMsg, now time.Time) []Cmd {
	k := &s.leaseState
	k.busy = false
	s.setFrozen(false)
	if msg.Incarnation != s.Self.Incarnation || s.departed {
		return nil
	}
	k.lease = newHeldLease(msg.Lease, msg.Sent, s.leaseTTL())
	k.registered = true
	k.nextAttempt = now.Add(s.leaseTTL() / renewalsPerTTL)
	s.nextRecordList = now
	return nil
}

// handleRegisterFailed schedules a retry. If a newer incarnation is registered under
// the same ID, the retry uses an incarnation above that one.
func (s *State) handleRegisterFailed(msg RegisterFailedMsg, now time.Time) {
	s.leaseState.scheduleRetry(now)
	if msg.ExistingIncarnation != "" {
		s.startIncarnation(msg.ExistingIncarnation, now)
		return
	}
	s.setFrozen(true)
}

// handleRenewed extends a lease that is still live. Once it has expired by the local
// clock it is never used again, even if the store renewed it.
func (s *State) handleRenewed(msg RenewedMsg, now time.Time) []Cmd {
	k := &s.leaseState
	if msg.Lease != k.lease.id {
		return nil
	}
	k.busy = false
	if msg.Peer == "" {
		s.setFrozen(msg.Result == RenewFailed)
	}
	switch msg.Result {
	case RenewDone:
		k.nextAttempt = now.Add(s.leaseTTL() / renewalsPerTTL)
		if renewal := newHeldLease(msg.Lease, msg.Sent, s.leaseTTL()); k.lease.live(now) && renewal.end.After(k.lease.end) {
			k.lease = renewal
		}
		return nil
	case RenewLapsed:
		k.drop()
		k.nextAttempt = now
		return nil
	}
	k.scheduleRetry(now)
	return s.relayRenewal(msg, now)
}

// relayRenewal asks a random peer to renew the lease after the store did not answer.
func (s *State) relayRenewal(msg RenewedMsg, now time.Time) []Cmd {
	if msg.Peer != "" || !s.leaseState.lease.live(now) {
		return nil
	}
	var candidates []*member
	for _, m := range s.ordered() {
		if !m.isSuspect() {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	peer := candidates[s.random.IntN(len(candidates))]
	s.leaseState.busy = true
	return []Cmd{RelayCmd{Lease: msg.Lease, Peer: peer.instance.ID, Address: peer.instance.PeerAddress}}
}

// handleDepart drops the lease and tells up to maxExtraHeartbeats peers that the
// instance is gone.
func (s *State) handleDepart() []Cmd {
	s.departed = true
	s.leaseState.drop()
	s.setState(hemlocktally.InstanceGone)
	var cmds []Cmd
	for _, m := range s.ordered() {
		if len(cmds) < maxExtraHeartbeats && !m.isSuspect() {
			cmds = append(cmds, HeartbeatCmd{To: m.instance.ID, Address: m.instance.PeerAddress, Heartbeat: s.newHeartbeat(string(m.instance.ID), false)})
		}
	}
	return cmds
}

// maxExtraHeartbeats bounds the heartbeats that are sent at once outside of rounds:
// to peers at departure, and to addresses of the platform's list.
const maxExtraHeartbeats = 8
