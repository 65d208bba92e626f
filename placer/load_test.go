package placer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hemlocktally"
)

// loadSimulation describes a simulated load on an owner, without a network: calls that arrive,
// and targets that execute them.
type loadSimulation struct {
	Targets   int
	Slots     int
	Work      time.Duration // Work is the mean work time of a call on a target of pace 1.
	Objective time.Duration
	Deadline  time.Duration
	Span      time.Duration
	// Rate returns the calls per second at a time since the start.
	Rate func(at time.Duration) float64
	// Slowdown returns the factor by which the work of a call is slower if it starts with busy
	// calls on the target, including itself.
	Slowdown func(busy, slots int) float64
	// Pace returns the pace of a target at a time since the start; nil means always 1.
	Pace func(target int, at time.Duration) float64
	// Prepare changes the state before the first call. It may be nil.
	Prepare func(*State)
}

// simulationResult counts the outcomes of the calls.
type simulationResult struct {
	Asked, Prompt, Late, Refused int
}

func (o simulationResult) String() string {
	return fmt.Sprintf("%d asked, %d prompt, %d late, %d refused", o.Asked, o.Prompt, o.Late, o.Refused)
}

// event is a message due at a time.
type event struct {
	at  time.Time
	msg any
}

type eventQueue []event

func (h eventQueue) Len() int           { return len(h) }
func (h eventQueue) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// arrivalMsg is the arrival of a call.
type arrivalMsg struct{}

// simulator runs one loadSimulation.
type simulator struct {
	loadSimulation
	harness  *harness
	random   *rand.Rand
	events   eventQueue
	running  map[hemlocktally.TargetName]int
	requests map[string]AcquireMsg
	result   simulationResult
}

// run runs the simulation with the given seed.
func (p loadSimulation) run(seed uint64) simulationResult {
	var list []hemlocktally.Registration
	for i := range p.Targets {
		r := target(fmt.Sprint("t", i), "a")
		r.Target.Slots = p.Slots
		list = append(list, r)
	}
	r := &simulator{
		loadSimulation: p, harness: newHarness(list...), random: rand.New(rand.NewPCG(seed, 1)),
		running: map[hemlocktally.TargetName]int{}, requests: map[string]AcquireMsg{},
	}
	if p.Prepare != nil {
		p.Prepare(&r.harness.state)
	}
	r.schedule(0, arrivalMsg{})
	r.schedule(queueTick, TickMsg{})
	for len(r.events) > 0 {
		h := heap.Pop(&r.events).(event)
		r.harness.now = h.at
		r.handle(h.msg)
	}
	return r.result
}

func (p *simulator) schedule(delay time.Duration, msg any) {
	heap.Push(&p.events, event{at: p.harness.now.Add(delay), msg: msg})
}

func (p *simulator) elapsed() time.Duration { return p.harness.now.Sub(startTime) }

func (p *simulator) handle(msg any) {
	switch msg := msg.(type) {
	case arrivalMsg:
		if p.elapsed() >= p.Span {
			return
		}
		p.schedule(time.Duration(p.random.ExpFloat64()/p.Rate(p.elapsed())*float64(time.Second)), arrivalMsg{})
		ask := p.harness.request()
		ask.ReplyBy = p.harness.now.Add(time.Hour)
		ask.Request.Objective, ask.Request.Deadline = p.harness.now.Add(p.Objective), p.harness.now.Add(p.Deadline)
		p.requests[ask.Ticket] = ask
		p.result.Asked++
		p.execute(p.harness.update(ask))
	case TickMsg:
		if p.elapsed() < p.Span+p.Deadline {
			p.schedule(queueTick, TickMsg{})
		}
		p.execute(p.harness.update(msg))
	case ReleaseMsg:
		p.running[msg.Result.Grant.Target.Name]--
		msg.Result.Load = p.load(msg.Result.Grant.Target.Name)
		p.execute(p.harness.update(msg))
	case LoadReportMsg:
		msg.Answer.Load = p.load(msg.Target)
		p.execute(p.harness.update(msg))
	}
}

// load returns the current load report of a target.
func (p *simulator) load(name hemlocktally.TargetName) *hemlocktally.Load {
	return &hemlocktally.Load{Slots: p.Slots, Running: p.running[name], Pace: p.pace(name)}
}

func (p *simulator) pace(name hemlocktally.TargetName) float64 {
	if p.Pace == nil {
		return 1
	}
	var n int
	_, _ = fmt.Sscanf(string(name), "t%d", &n)
	return p.Pace(n, p.elapsed())
}

func (p *simulator) execute(commands []any) {
	const (
		probeLatency = time.Millisecond
		workSpread   = 0.3
	)
	for _, command := range commands {
		switch command := command.(type) {
		case GrantCmd:
			ask := p.requests[command.Ticket]
			name := command.Grant.Target.Name
			p.running[name]++
			factor := p.Slowdown(p.running[name], p.Slots) * p.pace(name) * max(0.2, 1+workSpread*p.random.NormFloat64())
			took := time.Duration(float64(p.Work) * factor)
			outcome := hemlocktally.AttemptDone
			switch end := p.harness.now.Add(took); {
			case end.After(ask.Request.Deadline):
				took, outcome = ask.Request.Deadline.Sub(p.harness.now), hemlocktally.AttemptTimedOut
			case end.After(ask.Request.Objective):
				p.result.Late++
			default:
				p.result.Prompt++
			}
			p.schedule(took, ReleaseMsg{Result: hemlocktally.GrantResult{
				Grant: command.Grant, Contract: ask.Request.Contract, Outcome: outcome, Latency: took,
			}})
		case RefuseCmd:
			p.result.Refused++
		case ProbeCmd:
			p.schedule(probeLatency, LoadReportMsg{Target: command.Target.Name})
		}
	}
}
