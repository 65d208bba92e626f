package registrar

import (
	"cmp"
	"slices"
	"time"

	"hemlocktally"
)

const (
	// listInterval is the time between reads of all records, for the instances that
	// do not watch them. Watchers read them too.
	listInterval = time.Minute
	// instanceListInterval is the time between reads of the platform's list while the
	// instance knows no peer.
	instanceListInterval = time.Second
	// watchersPerZone is how many instances of a zone watch the store for a role.
	watchersPerZone = 2
)

// requestLists reads the records, and the platform's list while the instance knows
// no peer.
func (s *State) requestLists(now time.Time) []Cmd {
	var cmds []Cmd
	if s.leaseState.lease.live(now) && !now.Before(s.nextRecordList) {
		s.nextRecordList = now.Add(listInterval)
		cmds = append(cmds, ListRecordsCmd{})
	}
	if len(s.members) == 0 && !now.Before(s.nextInstanceList) {
		s.nextInstanceList = now.Add(instanceListInterval)
		cmds = append(cmds, ListInstancesCmd{})
	}
	return cmds
}

// handleRecords merges all records of the store. A member is removed only if it is
// Suspect and has no record. A record of an instance that was never heard adds a
// member, which then gets heartbeats like any other.
func (s *State) handleRecords(msg RecordsMsg, now time.Time) []Cmd {
	s.setFrozen(false)
	var cmds []Cmd
	listed := map[incarnationKey]bool{}
	for _, record := range msg.Records {
		listed[incarnationKey{record.ID, record.Incarnation}] = true
		if record.ID != s.Self.ID {
			cmds = append(cmds, s.mergeReport(report{instance: record}, now)...)
		}
	}
	for _, m := range s.ordered() {
		if m.isSuspect() && !listed[incarnationKey{m.instance.ID, m.instance.Incarnation}] {
			cmds = append(cmds, s.removeMember(m, "suspect and its lease has lapsed", now)...)
		}
	}
	return cmds
}

// handleAddresses sends heartbeats to addresses that no known member has. Because
// the platform's list lags, it is no evidence of who is alive.
func (s *State) handleAddresses(msg AddressesMsg) []Cmd {
	known := map[string]bool{s.Self.PeerAddress: true}
	for _, m := range s.members {
		known[m.instance.PeerAddress] = true
	}
	var cmds []Cmd
	for _, address := range msg.Addresses {
		if !known[address] && len(cmds) < maxExtraHeartbeats {
			cmds = append(cmds, HeartbeatCmd{Address: address, Heartbeat: s.newHeartbeat("", false)})
		}
	}
	return cmds
}

// IsWatcher reports whether the instance is one of the watchersPerZone of its zone
// that watch the store for the named role.
func IsWatcher(view hemlocktally.View, self hemlocktally.InstanceID, role string) bool {
	eligible := func(m hemlocktally.Instance) bool {
		return m.State == hemlocktally.InstanceServing || m.State == hemlocktally.InstanceStarting
	}
	own, ok := view.Find(self)
	if !ok || !eligible(own) {
		return false
	}
	var ids []hemlocktally.InstanceID
	for _, m := range view.Members {
		if m.Zone == own.Zone && eligible(m) {
			ids = append(ids, m.ID)
		}
	}
	slices.SortFunc(ids, func(a, b hemlocktally.InstanceID) int {
		return cmp.Compare(pairHash(a, hemlocktally.InstanceID(role)), pairHash(b, hemlocktally.InstanceID(role)))
	})
	return slices.Contains(ids[:min(len(ids), watchersPerZone)], self)
}
