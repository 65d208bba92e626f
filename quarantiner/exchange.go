package quarantiner

import (
	"context"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// exchange is what this instance and a hub have told each other.
type exchange struct {
	told  uint64 // told is the version of this instance that the hub was last told.
	heard uint64 // heard is the version in the hub's last answer.
}

const versionBits = 32

// wireVersion combines the run and the version of the state; zero if nothing is known.
func (s *State) wireVersion() uint64 {
	if s.version == 0 {
		return 0
	}
	return uint64(s.Run)<<versionBits | uint64(s.version)
}

// versionInRun returns the version if it is from this run of the state, else zero.
func (s *State) versionInRun(wire uint64) uint32 {
	if wire>>versionBits != uint64(s.Run) {
		return 0
	}
	return uint32(wire) //nolint:gosec // The upper half was compared.
}

// Outgoing returns what the hub has not been told, and the version to pass to Incoming with its
// answer. The message is nil if neither side knows of a suspect.
func (q *Quarantiner) Outgoing(hub hemlocktally.InstanceID) (out *messenger.SuspectExchange, version uint64) {
	if q == nil {
		return nil, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	peer := q.peers[hub]
	if q.state.wireVersion() == 0 && peer.heard == 0 {
		return nil, 0
	}
	suspects := q.state.Since(q.state.versionInRun(peer.told), false)
	return newExchange(q.state.wireVersion(), peer.heard, suspects, time.Now()), q.state.wireVersion()
}

// Incoming merges the hub's answer to a message of Outgoing.
func (q *Quarantiner) Incoming(hub hemlocktally.InstanceID, in *messenger.SuspectExchange, told uint64) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	peer := q.peers[hub]
	if in == nil && peer == (exchange{}) {
		return
	}
	sameRun := in.GetVersion() != 0 && (peer.heard == 0 || peer.heard>>versionBits == in.GetVersion()>>versionBits)
	peer.heard, peer.told = in.GetVersion(), 0
	if sameRun {
		peer.told = told
	}
	before := q.state.wireVersion()
	q.update(SuspectsMsg{Suspects: suspects(in, time.Now())}, string(hub))
	if peer.told == before {
		peer.told = q.state.wireVersion() // The hub knows what it has just told.
	}
	if q.peers == nil {
		q.peers = map[hemlocktally.InstanceID]exchange{}
	}
	q.peers[hub] = peer
}

// Answer merges what an instance tells and returns what has changed here since the version that
// it knows; nil if no suspect is known.
func (q *Quarantiner) Answer(in *messenger.SuspectExchange) *messenger.SuspectExchange {
	if q == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if in != nil {
		q.update(SuspectsMsg{Suspects: suspects(in, now)}, "")
	}
	if q.state.wireVersion() == 0 {
		return nil
	}
	return newExchange(q.state.wireVersion(), 0, q.state.Since(q.state.versionInRun(in.GetKnown()), true), now)
}

// Exchange implements messenger.Quarantine.
func (q *Quarantiner) Exchange(_ context.Context, in *messenger.SuspectExchange) (*messenger.SuspectExchange, error) {
	if out := q.Answer(in); out != nil {
		return out, nil
	}
	return &messenger.SuspectExchange{}, nil
}

// announce tells all hubs what they have not been told. What does not reach one goes along with
// the next request to it.
func (q *Quarantiner) announce() {
	for _, hub := range q.View.View().Serving() {
		if hub.ID != q.Self {
			go q.tell(hub)
		}
	}
}

func (q *Quarantiner) tell(hub hemlocktally.Instance) {
	out, version := q.Outgoing(hub.ID)
	if out == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	in, err := messenger.NewQuarantineProtobufClient("http://"+hub.PeerAddress, q.HTTP).Exchange(ctx, out)
	if err != nil {
		q.Log.Log(logger.EventSuspectsUnreported, logger.Fields{"Hub": hub.ID, "Cause": err.Error()})
		return
	}
	q.Incoming(hub.ID, in, version)
}
