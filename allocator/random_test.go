package allocator

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlocktally"
)

// fleetModel runs two instances that may both act as owner of one service, with
// random orders of messages, losses, duplicates and pauses. At most one of them
// is exclusive at a time; which one is random.
type fleetModel struct {
	owners         [2]*State
	now            time.Time
	lastTicket     uint64
	held           []heldGrant
	exclusiveOwner int // exclusiveOwner is the index of the exclusive owner, or -1.
	exclusiveUntil time.Time
}

type heldGrant struct {
	grant hemlocktally.Grant
	owner int
}

const modelTargets = 3

func newFleetModel() *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), exclusiveOwner: -1}
	for i := range m.owners {
		m.owners[i] = &State{Owner: hemlocktally.InstanceID(fmt.Sprintf("owner%d", i)), Epoch: "E"}
	}
	return m
}

func (m *fleetModel) update(t *rapid.T, owner int, msg any) {
	for _, command := range m.owners[owner].Update(msg, m.now) {
		switch command := command.(type) {
		case InvariantBrokenCmd:
			t.Fatalf("%s: %s", command.Invariant, command.Detail)
		case GrantCmd:
			m.held = append(m.held, heldGrant{grant: command.Grant, owner: owner})
		}
	}
}

func (m *fleetModel) configure(t *rapid.T) {
	service := hemlocktally.Service{Name: "reads", ProbePath: "/probe"}
	out := map[hemlocktally.TargetName]bool{}
	for i := range modelTargets {
		name := target(i)
		out[name] = rapid.IntRange(0, 5).Draw(t, "out") == 0
		service.Targets = append(service.Targets, hemlocktally.Target{Name: name, Address: "x", Zone: "a"})
	}
	for i := range m.owners {
		m.update(t, i, ConfigurationMsg{Service: service, OutOfService: out})
	}
}

func (m *fleetModel) acquire(t *rapid.T) {
	m.lastTicket++
	request := hemlocktally.GrantRequest{
		Priority: hemlocktally.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond), QueueLimit: 100 * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "excludes") {
		request.Exclude = []hemlocktally.TargetName{target(rapid.IntRange(0, modelTargets-1).Draw(t, "exclude"))}
	}
	m.update(t, m.drawOwner(t), AcquireMsg{Ticket: m.lastTicket, Requester: "entry", Request: request})
}

func (m *fleetModel) drawOwner(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "owner") }

// finish completes a held grant. Its result may be lost or sent twice.
func (m *fleetModel) finish(t *rapid.T) {
	if len(m.held) == 0 {
		t.Skip("nothing is held")
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "held")
	h := m.held[i]
	m.held = append(m.held[:i:i], m.held[i+1:]...)
	msg := ResultMsg{
		Grant: h.grant.ID, Target: h.grant.Target.Name,
		Outcome:  hemlocktally.AttemptOutcome(rapid.IntRange(0, 5).Draw(t, "outcome")),
		Latency:  time.Duration(rapid.IntRange(1, 100).Draw(t, "latency")) * time.Millisecond,
		SaidCold: rapid.IntRange(0, 9).Draw(t, "cold") == 0, SaidDraining: rapid.IntRange(0, 19).Draw(t, "draining") == 0,
	}
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		m.update(t, h.owner, msg)
	}
}

// advanceTime advances the clock, sometimes by as much as a pause of the process
// would.
func (m *fleetModel) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 100, 3000}).Draw(t, "pause")) * time.Millisecond)
	m.update(t, m.drawOwner(t), TickMsg{})
}

// moveExclusivity makes an owner exclusive after the time of the previous one has
// ended and the new one has reconciled the requester's grants.
func (m *fleetModel) moveExclusivity(t *rapid.T) {
	if m.now.Before(m.exclusiveUntil) {
		t.Skip("another owner is exclusive")
	}
	m.exclusiveOwner = m.drawOwner(t)
	m.exclusiveUntil = m.now.Add(promiseDuration)
	m.recall(t, m.exclusiveOwner)
	m.update(t, m.exclusiveOwner, ExclusivityMsg{Until: m.exclusiveUntil, Owner: true})
}

func (m *fleetModel) recall(t *rapid.T, owner int) {
	msg := ReconcileMsg{Requester: "entry", RequestedAt: m.now}
	for _, h := range m.held {
		msg.Grants = append(msg.Grants, InFlightGrant{
			Grant: h.grant.ID, Target: h.grant.Target.Name, Started: m.now.Add(-time.Millisecond), Deadline: h.grant.Deadline,
		})
	}
	m.update(t, owner, msg)
}

// check counts, over both owners, the held grants on targets that were granted as
// cold. Each target may have at most one, the limit of a new target.
func (m *fleetModel) check(t *rapid.T) {
	cold := map[hemlocktally.TargetName]int{}
	for _, h := range m.held {
		if h.grant.Cold && m.now.Before(h.grant.Deadline.Add(time.Second)) {
			cold[h.grant.Target.Name]++
		}
	}
	for name, n := range cold {
		if n > 1 {
			t.Fatalf("%d grants on cold target %s over the whole fleet", n, name)
		}
	}
}

func TestInvariantsHoldUnderRandomMessagesAndTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel()
		m.configure(t)
		t.Repeat(map[string]func(*rapid.T){
			"acquire":   m.acquire,
			"finish":    m.finish,
			"pass":      m.advanceTime,
			"stand":     m.moveExclusivity,
			"configure": m.configure,
			"recall":    func(t *rapid.T) { m.recall(t, m.drawOwner(t)) },
			"cancel": func(t *rapid.T) {
				m.update(t, m.drawOwner(t), CancelMsg{Ticket: uint64(rapid.IntRange(0, int(m.lastTicket)).Draw(t, "ticket"))})
			},
			"": m.check,
		})
	})
}
