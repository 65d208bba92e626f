package registrar

import (
	"context"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// life is the state of one incarnation of a member, as this instance judges it.
type life struct {
	machine *fsm.FSM
}

// newLife returns the life of an incarnation. Events carry the name of the
// state that they lead to. A Leaving incarnation never serves again, and Gone
// is final.
func newLife() life {
	const (
		starting = string(hemlocktally.InstanceStarting)
		serving  = string(hemlocktally.InstanceServing)
		out      = string(hemlocktally.InstanceOut)
		leaving  = string(hemlocktally.InstanceLeaving)
		suspect  = string(hemlocktally.InstanceSuspect)
		gone     = string(hemlocktally.InstanceGone)
	)
	return life{machine: fsm.NewFSM(starting, fsm.Events{
		{Name: serving, Src: []string{starting, out, suspect}, Dst: serving},
		{Name: out, Src: []string{starting, serving, suspect}, Dst: out},
		{Name: leaving, Src: []string{starting, serving, out, suspect}, Dst: leaving},
		{Name: suspect, Src: []string{starting, serving, out, leaving}, Dst: suspect},
		{Name: gone, Src: []string{starting, serving, out, leaving, suspect}, Dst: gone},
	}, nil)}
}

func (l life) state() hemlocktally.InstanceState {
	return hemlocktally.InstanceState(l.machine.Current())
}

// move leads to the state and reports whether that changed it. A transition
// that the machine does not know changes nothing.
func (l life) move(to hemlocktally.InstanceState) bool {
	if !l.machine.Can(string(to)) {
		return false
	}
	return l.machine.Event(context.Background(), string(to)) == nil
}
