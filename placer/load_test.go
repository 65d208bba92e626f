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

func (r simulationResult) String() string {
	return fmt.Sprintf("%d asked, %d prompt, %d late, %d refused", r.Asked, r.Prompt, r.Late, r.Refused)
}

// event is a message due at a time.
type event struct {
	due time.Time
	msg any
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
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
	s := &simulator{
		loadSimulation: p, harness: newHarness(list...), random: rand.New(rand.NewPCG(seed, 1)),
		running: map[hemlocktally.TargetName]int{}, requests: map[string]AcquireMsg{},
	}
	if p.Prepare != nil {
		p.Prepare(&s.harness.state)
	}
	s.schedule(0, arrivalMsg{})
	s.schedule(queueTick, TickMsg{})
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.harness.now = next.due
		s.handle(next.msg)
	}
	return s.result
}

func (s *simulator) schedule(delay time.Duration, msg any) {
	heap.Push(&s.events, event{due: s.harness.now.Add(delay), msg: msg})
}

func (s *simulator) elapsed() time.Duration { return s.harness.now.Sub(startTime) }

func (s *simulator) handle(msg any) {
	switch msg := msg.(type) {
	case arrivalMsg:
		if s.elapsed() >= s.Span {
			return
		}
		s.schedule(time.Duration(s.random.ExpFloat64()/s.Rate(s.elapsed())*float64(time.Second)), arrivalMsg{})
		acquire := s.harness.request()
		acquire.ReplyBy = s.harness.now.Add(time.Hour)
		acquire.Request.Objective, acquire.Request.Deadline = s.harness.now.Add(s.Objective), s.harness.now.Add(s.Deadline)
		s.requests[acquire.Ticket] = acquire
		s.result.Asked++
		s.execute(s.harness.update(acquire))
	case TickMsg:
		if s.elapsed() < s.Span+s.Deadline {
			s.schedule(queueTick, TickMsg{})
		}
		s.execute(s.harness.update(msg))
	case ReleaseMsg:
		s.running[msg.Result.Grant.Target.Name]--
		msg.Result.Load = s.load(msg.Result.Grant.Target.Name)
		s.execute(s.harness.update(msg))
	case LoadReportMsg:
		msg.Answer.Load = s.load(msg.Target)
		s.execute(s.harness.update(msg))
	}
}

// load returns the current load report of a target.
func (s *simulator) load(name hemlocktally.TargetName) *hemlocktally.Load {
	return &hemlocktally.Load{Slots: s.Slots, Running: s.running[name], Pace: s.pace(name)}
}

func (s *simulator) pace(name hemlocktally.TargetName) float64 {
	if s.Pace == nil {
		return 1
	}
	var n int
	_, _ = fmt.Sscanf(string(name), "t%d", &n)
	return s.Pace(n, s.elapsed())
}

func (s *simulator) execute(commands []any) {
	const (
		probeLatency = time.Millisecond
		workSpread   = 0.3
	)
	for _, command := range commands {
		switch command := command.(type) {
		case GrantCmd:
			acquire := s.requests[command.Ticket]
			name := command.Grant.Target.Name
			s.running[name]++
			factor := s.Slowdown(s.running[name], s.Slots) * s.pace(name) * max(0.2, 1+workSpread*s.random.NormFloat64())
			took := time.Duration(float64(s.Work) * factor)
			outcome := hemlocktally.AttemptDone
			switch end := s.harness.now.Add(took); {
			case end.After(acquire.Request.Deadline):
				took, outcome = acquire.Request.Deadline.Sub(s.harness.now), hemlocktally.AttemptTimedOut
			case end.After(acquire.Request.Objective):
				s.result.Late++
			default:
				s.result.Prompt++
			}
			s.schedule(took, ReleaseMsg{Result: hemlocktally.GrantResult{
				Grant: command.Grant, Contract: acquire.Request.Contract, Outcome: outcome, Latency: took,
			}})
		case RefuseCmd:
			s.result.Refused++
		case ProbeCmd:
			s.schedule(probeLatency, LoadReportMsg{Target: command.Target.Name})
		}
	}
}
