package soaker

import (
	"time"

	"github.com/anishathalye/porcupine"

	"hemlocktally"
)

// keyState is what a key's register holds: the attempt that ran, if any did.
type keyState struct {
	ranAs string
}

// attemptEnd is the output of one attempt of a history.
type attemptEnd struct {
	outcome hemlocktally.Outcome
	ranAs   string
	name    string
}

// register is a key that runs once: a Done tells of the one run, whichever
// attempt asks, and after a Done with an answer nothing else ever ran.
func register() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{keyState{}} },
		Step: func(state, _, output interface{}) []interface{} {
			from, _ := state.(keyState)
			end, _ := output.(attemptEnd)
			return nextStates(from, end)
		},
		Equal: func(a, b interface{}) bool { return a == b },
	}
	return model.ToModel()
}

func nextStates(from keyState, end attemptEnd) []interface{} {
	ranHere := keyState{ranAs: end.name}
	switch {
	case end.outcome == hemlocktally.OutcomeNotRun:
		return []interface{}{from}
	case end.outcome == hemlocktally.OutcomeDone && end.ranAs == "":
		return []interface{}{from} // A target's own error page tells of no run.
	case end.outcome == hemlocktally.OutcomeDone && from.ranAs == "":
		return []interface{}{keyState{ranAs: end.ranAs}}
	case end.outcome == hemlocktally.OutcomeDone && from.ranAs == end.ranAs:
		return []interface{}{from}
	case end.outcome == hemlocktally.OutcomeDone:
		return nil
	case from.ranAs == "":
		return []interface{}{from, ranHere} // Unknown, or no answer: it may have run.
	default:
		return []interface{}{from}
	}
}

// legal reports whether some order of the attempts explains what was told. An
// attempt without an answer may take effect at any later time.
func legal(attempts []*attempt) bool {
	var operations []porcupine.Operation
	var last time.Time
	for _, a := range attempts {
		if a.ended.After(last) {
			last = a.ended
		}
	}
	for i, a := range attempts {
		if a.began.IsZero() {
			continue
		}
		ended := a.ended
		if a.outcome == "" || a.outcome == hemlocktally.OutcomeUnknown {
			ended = last.Add(time.Second)
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: nil, Call: a.began.UnixNano(), Return: ended.UnixNano(),
			Output: attemptEnd{outcome: a.outcome, ranAs: a.ranAs, name: a.name},
		})
	}
	return porcupine.CheckOperations(register(), operations)
}
