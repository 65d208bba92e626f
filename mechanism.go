package hemlocktally

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the decision logic that can be switched off, so that its
// effect can be measured with the same program.
type Mechanism string

// The mechanisms. docs/DECISIONS.md lists the cost of switching each one off.
const (
	MechanismOwners         Mechanism = "Owners"         // MechanismOwners lets one owner decide for a service; if off, each instance decides for itself.
	MechanismLoadQuestions  Mechanism = "LoadQuestions"  // MechanismLoadQuestions probes targets for their load before choosing one.
	MechanismZoneFirst      Mechanism = "ZoneFirst"      // MechanismZoneFirst prefers targets of the requesting instance's zone that are fast enough.
	MechanismLinkPrice      Mechanism = "LinkPrice"      // MechanismLinkPrice adds the cost of a new connection to a target's expected time.
	MechanismJoinFirst      Mechanism = "JoinFirst"      // MechanismJoinFirst gives a target that has just joined its first call before other targets.
	MechanismFaultRanking   Mechanism = "FaultRanking"   // MechanismFaultRanking ranks targets by their failure rate.
	MechanismWidth          Mechanism = "Width"          // MechanismWidth leaves slots of a target free if nearly as much is done with fewer.
	MechanismAdmission      Mechanism = "Admission"      // MechanismAdmission refuses a call at once if the calls queued before it would make it late.
	MechanismPriorityOrder  Mechanism = "PriorityOrder"  // MechanismPriorityOrder serves waiting calls by priority, then by objective.
	MechanismPromptFirst    Mechanism = "PromptFirst"    // MechanismPromptFirst serves calls that can no longer meet their objective last.
	MechanismSecondAttempts Mechanism = "SecondAttempts" // MechanismSecondAttempts makes a second attempt for a slow idempotent call.
	MechanismReadAhead      Mechanism = "ReadAhead"      // MechanismReadAhead serves pipelined requests concurrently.
	MechanismRelayedLists   Mechanism = "RelayedLists"   // MechanismRelayedLists lets hubs relay the list of targets.
	MechanismHandover       Mechanism = "Handover"       // MechanismHandover lets a hub of low weight hand its role over to an instance of much higher weight.
	MechanismSpreadReturn   Mechanism = "SpreadReturn"   // MechanismSpreadReturn adds jitter to the retry time advised to refused callers.
	MechanismFairShares     Mechanism = "FairShares"     // MechanismFairShares serves waiting calls of a priority by the shares of their customers.
	MechanismQuarantine     Mechanism = "Quarantine"     // MechanismQuarantine holds back requests that crash their targets.
	MechanismSpillover      Mechanism = "Spillover"      // MechanismSpillover weighs zones by demand, speed and the cost of the path.
)

// AllMechanisms returns all mechanisms.
func AllMechanisms() []Mechanism {
	return []Mechanism{
		MechanismOwners, MechanismLoadQuestions, MechanismZoneFirst, MechanismLinkPrice, MechanismJoinFirst,
		MechanismFaultRanking, MechanismWidth, MechanismAdmission, MechanismPriorityOrder, MechanismPromptFirst,
		MechanismSecondAttempts, MechanismReadAhead, MechanismRelayedLists, MechanismHandover, MechanismSpreadReturn,
		MechanismFairShares, MechanismQuarantine, MechanismSpillover,
	}
}

// Mechanisms is the set of mechanisms that are off. Its zero value has all of
// them on.
type Mechanisms map[Mechanism]bool

// Has reports whether the set contains the mechanism.
func (m Mechanisms) Has(mechanism Mechanism) bool { return m[mechanism] }

// UnknownMechanismError reports a name that is not that of a mechanism.
type UnknownMechanismError struct{ Name string }

// Error returns a message with the unknown name and the known ones.
func (e *UnknownMechanismError) Error() string {
	names := make([]string, 0, len(AllMechanisms()))
	for _, m := range AllMechanisms() {
		names = append(names, string(m))
	}
	return fmt.Sprintf("unknown mechanism %q; the known ones are %s", e.Name, strings.Join(names, ", "))
}

// ParseMechanisms parses a comma-separated list of the mechanisms that are off. It
// returns an *UnknownMechanismError for the first name that is unknown.
func ParseMechanisms(names string) (Mechanisms, error) {
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
