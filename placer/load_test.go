package placer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hemlocktally"
)

// loadPattern is a load that an owner meets, played without a network: calls that
// arrive, and targets that work on them.
type loadPattern struct {
	Targets   int
	Slots     int
	Work      time.Duration // Work is the mean work of a call on a calm target.
	Objective time.Duration
	Deadline  time.Duration
	Span      time.Duration
	// Rate is the calls a second at a time since the start.
	Rate func(at time.Duration) float64
	// Slowdown is how much longer work takes that begins as one of so many calls.
	Slowdown func(busy, slots int) float64
	// Pace is how long work takes on a target at a time, 1 as usual; nil means always 1.
	Pace func(target int, at time.Duration) float64
	// Prepare changes the state before the first call; it may be nil.
	Prepare func(*State)
}

// loadOutcome counts how the calls of a pattern ended.
type loadOutcome struct {
	Asked, Prompt, Late, Refused int
}

func (o loadOutcome) String() string {
	return fmt.Sprintf("%d asked, %d prompt, %d late, %d refused", o.Asked, o.Prompt, o.Late, o.Refused)
}

// happening is something that comes at a time.
type happening struct {
	at  time.Time
	msg any
}

type happenings []happening

func (h happenings) Len() int           { return len(h) }
func (h happenings) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h happenings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)        { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// arrivalMsg is one call that arrives.
type arrivalMsg struct{}

// player plays one pattern.
type player struct {
	loadPattern
	desk    *desk
	random  *rand.Rand
	next    happenings
	running map[hemlocktally.TargetName]int
	begun   map[string]AskMsg
	outcome loadOutcome
}

// play plays the pattern with the seed.
func (p loadPattern) play(seed uint64) loadOutcome {
	var list []hemlocktally.Registration
	for i := range p.Targets {
		r := target(fmt.Sprint("t", i), "a")
		r.Target.Slots = p.Slots
		list = append(list, r)
	}
	r := &player{
		loadPattern: p, desk: newDesk(list...), random: rand.New(rand.NewPCG(seed, 1)),
		running: map[hemlocktally.TargetName]int{}, begun: map[string]AskMsg{},
	}
	if p.Prepare != nil {
		p.Prepare(&r.desk.state)
	}
	r.plan(0, arrivalMsg{})
	r.plan(waitTick, TickMsg{})
	for len(r.next) > 0 {
		h := heap.Pop(&r.next).(happening)
		r.desk.now = h.at
		r.take(h.msg)
	}
	return r.outcome
}

func (p *player) plan(in time.Duration, msg any) {
	heap.Push(&p.next, happening{at: p.desk.now.Add(in), msg: msg})
}

func (p *player) since() time.Duration { return p.desk.now.Sub(start) }

func (p *player) take(msg any) {
	switch msg := msg.(type) {
	case arrivalMsg:
		if p.since() >= p.Span {
			return
		}
		p.plan(time.Duration(p.random.ExpFloat64()/p.Rate(p.since())*float64(time.Second)), arrivalMsg{})
		ask := p.desk.request()
		ask.Hold = p.desk.now.Add(time.Hour)
		ask.Request.Objective, ask.Request.Deadline = p.desk.now.Add(p.Objective), p.desk.now.Add(p.Deadline)
		p.begun[ask.Ticket] = ask
		p.outcome.Asked++
		p.run(p.desk.update(ask))
	case TickMsg:
		if p.since() < p.Span+p.Deadline {
			p.plan(waitTick, TickMsg{})
		}
		p.run(p.desk.update(msg))
	case EndMsg:
		p.running[msg.Result.Grant.Target.Name]--
		msg.Result.Load = p.load(msg.Result.Grant.Target.Name)
		p.run(p.desk.update(msg))
	case LoadMsg:
		msg.Answer.Load = p.load(msg.Target)
		p.run(p.desk.update(msg))
	}
}

// load is what a target says of itself now.
func (p *player) load(name hemlocktally.TargetName) *hemlocktally.Load {
	return &hemlocktally.Load{Slots: p.Slots, Running: p.running[name], Pace: p.pace(name)}
}

func (p *player) pace(name hemlocktally.TargetName) float64 {
	if p.Pace == nil {
		return 1
	}
	var n int
	_, _ = fmt.Sscanf(string(name), "t%d", &n)
	return p.Pace(n, p.since())
}

func (p *player) run(commands []any) {
	const (
		probeTakes = time.Millisecond
		workSpread = 0.3
	)
	for _, command := range commands {
		switch command := command.(type) {
		case GrantCmd:
			ask := p.begun[command.Ticket]
			name := command.Grant.Target.Name
			p.running[name]++
			factor := p.Slowdown(p.running[name], p.Slots) * p.pace(name) * max(0.2, 1+workSpread*p.random.NormFloat64())
			took := time.Duration(float64(p.Work) * factor)
			outcome := hemlocktally.AttemptDone
			switch end := p.desk.now.Add(took); {
			case end.After(ask.Request.Deadline):
				took, outcome = ask.Request.Deadline.Sub(p.desk.now), hemlocktally.AttemptTimedOut
			case end.After(ask.Request.Objective):
				p.outcome.Late++
			default:
				p.outcome.Prompt++
			}
			p.plan(took, EndMsg{Result: hemlocktally.GrantResult{
				Grant: command.Grant, Contract: ask.Request.Contract, Outcome: outcome, Latency: took,
			}})
		case RefuseCmd:
			p.outcome.Refused++
		case ProbeCmd:
			p.plan(probeTakes, LoadMsg{Target: command.Target.Name})
		}
	}
}
