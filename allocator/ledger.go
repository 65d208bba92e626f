package allocator

import (
	"slices"
	"sync"
	"time"

	"hemlocktally"
)

// Ledger holds what one entry uses and knows: its turns in flight, and which
// targets the owners last said to be warm. It is safe for use by several
// goroutines; its zero value is empty.
type Ledger struct {
	mu    sync.Mutex
	turns map[hemlocktally.GrantID]heldTurn
	known map[hemlocktally.ServiceName]knowledge
	heard map[hemlocktally.InstanceID]time.Time
}

type heldTurn struct {
	Turn
	owner hemlocktally.InstanceID
}

type knowledge struct {
	owner hemlocktally.InstanceID
	warm  []hemlocktally.TargetName
}

// knowledgeTime is how long an owner's word on its targets counts.
const knowledgeTime = 5 * time.Second

func (l *Ledger) begin(grant hemlocktally.Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.turns == nil {
		l.turns = map[hemlocktally.GrantID]heldTurn{}
	}
	l.turns[grant.ID] = heldTurn{owner: grant.Owner, Turn: Turn{
		Grant: grant.ID, Service: grant.Service, Target: grant.Target.Name, Started: now, Deadline: grant.Deadline,
	}}
}

func (l *Ledger) end(id hemlocktally.GrantID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.turns, id)
}

// turnsOf returns the turns on services that the filter wants, or that the
// owner granted.
func (l *Ledger) turnsOf(owner hemlocktally.InstanceID, wants func(hemlocktally.ServiceName) bool) []Turn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var turns []Turn
	for _, held := range l.turns {
		if held.owner == owner || wants(held.Service) {
			turns = append(turns, held.Turn)
		}
	}
	return turns
}

// hear notes that an owner lives, and with it all that it said before.
func (l *Ledger) hear(owner hemlocktally.InstanceID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard == nil {
		l.heard = map[hemlocktally.InstanceID]time.Time{}
	}
	l.heard[owner] = now
}

// learn takes over an owner's word on its targets. Of targets of which it has
// heard nothing itself, as one that has just taken over, the word before stays:
// else two changes of the owner in a row would leave no target known as warm.
func (l *Ledger) learn(owner hemlocktally.InstanceID, service hemlocktally.ServiceName, warm, unheard []hemlocktally.TargetName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.known[service].warm {
		if slices.Contains(unheard, known) {
			warm = append(warm, known)
		}
	}
	if l.known == nil {
		l.known = map[hemlocktally.ServiceName]knowledge{}
	}
	l.known[service] = knowledge{owner: owner, warm: warm}
}

// chill forgets that a target is warm.
func (l *Ledger) chill(service hemlocktally.ServiceName, target hemlocktally.TargetName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known[service]
	if i := slices.Index(k.warm, target); i >= 0 {
		k.warm = slices.Delete(slices.Clone(k.warm), i, i+1)
		l.known[service] = k
	}
}

// warm returns the targets that an owner lately said to be warm.
func (l *Ledger) warm(service hemlocktally.ServiceName, now time.Time) []hemlocktally.TargetName {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.known[service]
	if !ok || now.Sub(l.heard[k.owner]) > knowledgeTime {
		return nil
	}
	return k.warm
}

// Warm reports whether an owner lately said that the target is warm.
func (l *Ledger) Warm(service hemlocktally.ServiceName, target hemlocktally.TargetName) bool {
	return slices.Contains(l.warm(service, time.Now()), target)
}
