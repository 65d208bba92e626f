package hemlocktally

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one part of how an instance decides that can be left off, so that
// its worth can be measured by the same program.
type Mechanism string

// The mechanisms. What each costs while it is off stands in docs/DECISIONS.md.
const (
	MechanismOwners         Mechanism = "Owners"         // MechanismOwners has one owner decide for a service; off, each instance decides alone.
	MechanismLoadQuestions  Mechanism = "LoadQuestions"  // MechanismLoadQuestions asks targets for their load before a choice.
	MechanismZoneFirst      Mechanism = "ZoneFirst"      // MechanismZoneFirst prefers quick targets of the caller's zone.
	MechanismLinkPrice      Mechanism = "LinkPrice"      // MechanismLinkPrice counts a new connection as time.
	MechanismJoinFirst      Mechanism = "JoinFirst"      // MechanismJoinFirst gives a target that joins a first call before others.
	MechanismFaultRanking   Mechanism = "FaultRanking"   // MechanismFaultRanking ranks targets by their failures.
	MechanismWidth          Mechanism = "Width"          // MechanismWidth leaves slots free where that does as much.
	MechanismAdmission      Mechanism = "Admission"      // MechanismAdmission refuses at once what can't be prompt, by what is ahead of it.
	MechanismPriorityOrder  Mechanism = "PriorityOrder"  // MechanismPriorityOrder serves waiting calls by priority, then by objective.
	MechanismPromptFirst    Mechanism = "PromptFirst"    // MechanismPromptFirst serves calls that can't be prompt any more last.
	MechanismSecondAttempts Mechanism = "SecondAttempts" // MechanismSecondAttempts sends slow idempotent work once more.
	MechanismReadAhead      Mechanism = "ReadAhead"      // MechanismReadAhead serves pipelined requests side by side.
	MechanismRelayedLists   Mechanism = "RelayedLists"   // MechanismRelayedLists has hubs pass the list of targets on.
	MechanismHandover       Mechanism = "Handover"       // MechanismHandover has a weak hub hand its place to a strong instance.
	MechanismSpreadReturn   Mechanism = "SpreadReturn"   // MechanismSpreadReturn spreads the times at which refused callers come back.
)

// AllMechanisms lists all of them.
func AllMechanisms() []Mechanism {
	return []Mechanism{
		MechanismOwners, MechanismLoadQuestions, MechanismZoneFirst, MechanismLinkPrice, MechanismJoinFirst,
		MechanismFaultRanking, MechanismWidth, MechanismAdmission, MechanismPriorityOrder, MechanismPromptFirst,
		MechanismSecondAttempts, MechanismReadAhead, MechanismRelayedLists, MechanismHandover, MechanismSpreadReturn,
	}
}

// Mechanisms are those that are off. Its zero value has all of them on.
type Mechanisms map[Mechanism]bool

// Has reports whether the mechanism is among them.
func (m Mechanisms) Has(mechanism Mechanism) bool { return m[mechanism] }

// UnknownMechanismError names a mechanism that there is not.
type UnknownMechanismError struct{ Name string }

// Error names it, and those that there are.
func (e *UnknownMechanismError) Error() string {
	names := make([]string, 0, len(AllMechanisms()))
	for _, m := range AllMechanisms() {
		names = append(names, string(m))
	}
	return fmt.Sprintf("no mechanism is named %q; there are %s", e.Name, strings.Join(names, ", "))
}

// MechanismsOff reads names that are separated by commas. It returns an
// *UnknownMechanismError for the first that is none.
func MechanismsOff(names string) (Mechanisms, error) {
	off := Mechanisms{}
	for _, name := range strings.Split(names, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if !slices.Contains(AllMechanisms(), Mechanism(name)) {
			return nil, &UnknownMechanismError{Name: name}
		}
		off[Mechanism(name)] = true
	}
	return off, nil
}
