package registrar

import (
	"cmp"
	"slices"
	"time"

	"hemlocktally"
)

const (
	// listInterval lies between readings of all records by an instance that
	// does not watch them.
	listInterval = time.Minute
	// hintInterval lies between readings of the platform's list while the
	// instance knows no peer.
	hintInterval = time.Second
	// watchersPerZone is how many instances of a zone wait for changes.
	watchersPerZone = 2
)

// readLists asks for the records, and for the platform's hints where the
// instance knows of nobody.
func (s *State) readLists(now time.Time) []Cmd {
	var cmds []Cmd
	if s.keeper.lease.live(now) && !now.Before(s.nextList) {
		s.nextList = now.Add(listInterval)
		cmds = append(cmds, ListCmd{})
	}
	if len(s.members) == 0 && !now.Before(s.nextHint) {
		s.nextHint = now.Add(hintInterval)
		cmds = append(cmds, HintsCmd{})
	}
	return cmds
}

// records compares the members with all records of the store. Only a member
// that is both silent and without a record is gone; a record without a sign of
// life makes a member that is then tested like any other.
func (s *State) records(msg RecordsMsg, now time.Time) []Cmd {
	s.freeze(false)
	var cmds []Cmd
	listed := map[grave]bool{}
	for _, record := range msg.Records {
		listed[grave{record.ID, record.Incarnation}] = true
		if record.ID != s.Self.ID {
			cmds = append(cmds, s.merge(report{instance: record}, now)...)
		}
	}
	for _, m := range s.ordered() {
		if m.silent() && !listed[grave{m.instance.ID, m.instance.Incarnation}] {
			cmds = append(cmds, s.bury(m, "silent and its lease has lapsed", now)...)
		}
	}
	return cmds
}

// hints sends heartbeats to addresses that no known member has. The list lags:
// it proves nothing about who is alive.
func (s *State) hints(msg HintsMsg) []Cmd {
	known := map[string]bool{s.Self.PeerAddress: true}
	for _, m := range s.members {
		known[m.instance.PeerAddress] = true
	}
	var cmds []Cmd
	for _, address := range msg.Addresses {
		if !known[address] && len(cmds) < departLimit {
			cmds = append(cmds, BeatCmd{Address: address, Beat: s.message("", false)})
		}
	}
	return cmds
}

// Watching reports whether the instance is one of the few of its zone that wait
// for changes in the store, for the role with the given name.
func Watching(view hemlocktally.View, self hemlocktally.InstanceID, role string) bool {
	able := func(m hemlocktally.Instance) bool {
		return m.State == hemlocktally.InstanceServing || m.State == hemlocktally.InstanceStarting
	}
	own, ok := view.Find(self)
	if !ok || !able(own) {
		return false
	}
	var zone []hemlocktally.InstanceID
	for _, m := range view.Members {
		if m.Zone == own.Zone && able(m) {
			zone = append(zone, m.ID)
		}
	}
	slices.SortFunc(zone, func(a, b hemlocktally.InstanceID) int {
		return cmp.Compare(pairHash(a, hemlocktally.InstanceID(role)), pairHash(b, hemlocktally.InstanceID(role)))
	})
	return slices.Contains(zone[:min(len(zone), watchersPerZone)], self)
}
