package registrar

import (
	"context"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// lifecycle is the state machine of one incarnation of a member, as this instance sees it.
type lifecycle struct {
	machine *fsm.FSM
}

// newLifecycle returns the lifecycle of a new incarnation. Each event has the name of
// the state that it leads to. A Leaving incarnation never serves again, and Gone
// is final.
func newLifecycle() lifecycle {
	const (
		starting = string(hemlocktally.InstanceStarting)
		serving  = string(hemlocktally.InstanceServing)
		out      = string(hemlocktally.InstanceOut)
		leaving  = string(hemlocktally.InstanceLeaving)
		suspect  = string(hemlocktally.InstanceSuspect)
		gone     = string(hemlocktally.InstanceGone)
	)
	return lifecycle{machine: fsm.NewFSM(starting, fsm.Events{
		{Name: serving, Src: []string{starting, out, suspect}, Dst: serving},
		{Name: out, Src: []string{starting, serving, suspect}, Dst: out},
		{Name: leaving, Src: []string{starting, serving, out, suspect}, Dst: leaving},
		{Name: suspect, Src: []string{starting, serving, out, leaving}, Dst: suspect},
		{Name: gone, Src: []string{starting, serving, out, leaving, suspect}, Dst: gone},
	}, nil)}
}

func (l lifecycle) state() hemlocktally.InstanceState {
	return hemlocktally.InstanceState(l.machine.Current())
}

// transition moves to the given state and reports whether the state changed. An
// undefined transition changes nothing.
func (l lifecycle) transition(to hemlocktally.InstanceState) bool {
	if !l.machine.Can(string(to)) {
		return false
	}
	return l.machine.Event(context.Background(), string(to)) == nil
}
