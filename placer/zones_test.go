package placer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"hemlocktally"
)

// zoneSimulation describes a simulated load of three zones on one owner, without a network.
// Targets are slow for half a second at a time and say so in their reports; a call that runs
// when its target changes speed continues at the new speed.
type zoneSimulation struct {
	Targets [3]int // Targets is the number of targets in each zone.
	Slots   int
	Span    time.Duration
	// Rate returns the calls per second from a zone at a time since the start.
	Rate      func(zone int, at time.Duration) float64
	SlowShare float64 // SlowShare is the share of the targets that are slow at a time.
	Contracts []simulatedContract
	// Events are changes of the targets, by the time since the start.
	Events []simulatedEvent
	// Spillover switches the decision on.
	Spillover bool
	// Off lists the mechanism among those that are disabled.
	Off bool
	// StrangeZone makes the callers of the first zone call from a zone that no target has.
	StrangeZone bool
}

// simulatedContract is a kind of call.
type simulatedContract struct {
	Name          hemlocktally.ContractName
	Weight        float64
	Work          time.Duration
	Objective     time.Duration
	Bytes         int64
	NonIdempotent bool
	Large         bool
}

// simulatedEvent changes the simulation at a time.
type simulatedEvent struct {
	At     time.Duration
	Change func(*zoneSimulator)
}

// zoneResult counts the outcomes of the calls of each zone.
type zoneResult struct {
	Asked, Prompt, Late, Refused, Left, Hedges int
	CalmAsked, CalmLate                        int // Calls of contract c, for the quiet plays.
	MB                                         float64
	Waits                                      time.Duration // Waits is the sum of the waits for a grant.
	Reasons                                    map[LeaveReason]int
	// Swings counts how often the share of a zone changed its direction by at least a tenth.
	Swings int
}

func (r zoneResult) String() string {
	wait := r.Waits / time.Duration(max(1, r.Asked))
	return fmt.Sprintf("%d asked, %.4f prompt, %d late, %d refused, %d hedges, %d left %v, %.0f MB between zones, mean wait %s, %d swings",
		r.Asked, r.promptShare(), r.Late, r.Refused, r.Hedges, r.Left, r.Reasons, r.MB, wait.Round(10*time.Microsecond), r.Swings)
}

func (r zoneResult) promptShare() float64 { return float64(r.Prompt) / float64(max(1, r.Asked)) }

// Parameters of the simulated zones.
const (
	simulatedDelay      = 1150 * time.Microsecond
	simulatedConnection = time.Millisecond
	simulatedProbe      = time.Millisecond
	simulatedGrace      = 3 * time.Second
	slowPhase           = 500 * time.Millisecond
	instancesPerZone    = 6
	simulatedWorkSpread = 0.15
)

// zoneSimulator runs a zoneSimulation.
type zoneSimulator struct {
	zoneSimulation
	harness *harness
	random  *rand.Rand
	events  eventQueue
	seed    uint64
	list    []hemlocktally.Registration
	numbers map[hemlocktally.TargetName]uint64
	offsets map[hemlocktally.TargetName]time.Duration // offsets holds when the slow phases of each target begin.
	out     map[hemlocktally.ZoneName]bool
	dead    map[hemlocktally.ZoneName]bool // dead holds the zones whose targets don't answer.
	running map[hemlocktally.TargetName]int
	idle    map[string]int // idle counts the idle connections by instance and target.
	calls   map[string]*simulatedCall
	result  zoneResult
	trends  map[hemlocktally.ZoneName]trend
	// counting is when calls start to count.
	counting time.Duration
	late     map[string]int       // late counts the late calls by contract, attempts and why there was no second one.
	watch    func(*zoneSimulator) // watch is called each 50 ms; it may be nil.
}

// trend is the course of a zone's share.
type trend struct {
	turn   float64 // turn is the extreme since the last change of direction.
	rising bool
}

// simulatedCall is one call with its attempts.
type simulatedCall struct {
	contract simulatedContract
	zone     hemlocktally.ZoneName
	instance hemlocktally.InstanceID
	started  time.Time
	acquire  AcquireMsg
	attempts []*simulatedAttempt
	done     bool
	counted  bool
	// hedgeRefused is why the call got no second attempt.
	hedgeRefused string
}

// simulatedAttempt is an attempt that runs on a target.
type simulatedAttempt struct {
	call    *simulatedCall
	grant   hemlocktally.Grant
	started time.Time
	ended   bool
}

// Messages of the simulation.
type (
	zoneArrival  struct{ zone int }
	attemptEnd   struct{ attempt *simulatedAttempt }
	hedgeDue     struct{ call *simulatedCall }
	probeAnswer  struct{ target hemlocktally.Target }
	watchMsg     struct{}
	eventDueMsg  struct{ change func(*zoneSimulator) }
	deadlineOver struct{ attempt *simulatedAttempt }
)

func zoneName(zone int) hemlocktally.ZoneName { return hemlocktally.ZoneName("z" + fmt.Sprint(zone)) }

// newZoneSimulator returns a simulator with the targets known to the owner.
func newZoneSimulator(p zoneSimulation, seed uint64) *zoneSimulator {
	s := &zoneSimulator{
		zoneSimulation: p, harness: newHarness(), random: rand.New(rand.NewPCG(seed, 2)), seed: seed, out: map[hemlocktally.ZoneName]bool{},
		numbers: map[hemlocktally.TargetName]uint64{}, offsets: map[hemlocktally.TargetName]time.Duration{},
		dead: map[hemlocktally.ZoneName]bool{}, running: map[hemlocktally.TargetName]int{}, idle: map[string]int{},
		calls: map[string]*simulatedCall{}, trends: map[hemlocktally.ZoneName]trend{}, counting: 1500 * time.Millisecond,
	}
	s.result.Reasons = map[LeaveReason]int{}
	for zone, count := range p.Targets {
		for i := range count {
			r := target(fmt.Sprintf("%s-%d", zoneName(zone), i), string(zoneName(zone)))
			r.Target.Slots = p.Slots
			s.list = append(s.list, r)
			n := uint64(len(s.list))
			s.numbers[r.Target.Name] = n
			s.offsets[r.Target.Name] = time.Duration(rand.New(rand.NewPCG(seed, n)).Int64N(int64(slowPhase)))
		}
	}
	s.harness.state.Bounds.RetryRatio, s.harness.state.Bounds.ProbesPerSecond = 0.1, 50
	s.harness.state.Bounds.Disabled = hemlocktally.Mechanisms{hemlocktally.MechanismSpillover: p.Off}
	s.harness.state.Bounds.PricePerMB, s.harness.state.Bounds.ZoneDelay = 40*time.Millisecond, 1200*time.Microsecond
	s.configure()
	return s
}

// configure tells the owner the targets.
func (s *zoneSimulator) configure() {
	var large []hemlocktally.ContractName
	for _, contract := range s.Contracts {
		if contract.Large {
			large = append(large, contract.Name)
		}
	}
	s.execute(s.harness.update(TargetsMsg{
		Service: hemlocktally.Service{Name: "s", ProbePath: "/health", ColdPerSecond: 6.5}, Targets: s.list, Out: s.out,
		Spillover: s.Spillover, LargeResponses: large,
	}))
}

// run runs the simulation with the given seed.
func (p zoneSimulation) run(seed uint64) zoneResult { return newZoneSimulator(p, seed).run() }

func (s *zoneSimulator) run() zoneResult {
	for zone := range s.Targets {
		s.schedule(0, zoneArrival{zone: zone})
	}
	for _, e := range s.Events {
		s.schedule(e.At, eventDueMsg{change: e.Change})
	}
	s.schedule(0, TickMsg{})
	s.schedule(0, watchMsg{})
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.harness.now = next.due
		s.handle(next.msg)
	}
	return s.result
}

func (s *zoneSimulator) schedule(delay time.Duration, msg any) {
	heap.Push(&s.events, event{due: s.harness.now.Add(delay), msg: msg})
}

func (s *zoneSimulator) elapsed() time.Duration { return s.harness.now.Sub(startTime) }

func (s *zoneSimulator) handle(msg any) {
	switch msg := msg.(type) {
	case zoneArrival:
		s.arrive(msg.zone)
	case TickMsg:
		if s.elapsed() < s.Span+simulatedGrace {
			s.schedule(queueTick, TickMsg{})
		}
		s.execute(s.harness.update(msg))
	case watchMsg:
		if s.elapsed() < s.Span {
			s.schedule(50*time.Millisecond, watchMsg{})
			s.followShares()
			if s.watch != nil {
				s.watch(s)
			}
		}
	case eventDueMsg:
		msg.change(s)
	case attemptEnd:
		s.end(msg.attempt, hemlocktally.AttemptDone)
	case deadlineOver:
		s.end(msg.attempt, hemlocktally.AttemptTimedOut)
	case hedgeDue:
		s.hedge(msg.call)
	case probeAnswer:
		report := LoadReportMsg{Target: msg.target.Name, Failed: s.dead[msg.target.Zone]}
		report.Answer.Load = s.load(msg.target.Name)
		s.execute(s.harness.update(report))
	}
}

// followShares counts the changes of direction of the zones' shares.
func (s *zoneSimulator) followShares() {
	const turn = 0.1
	for _, z := range s.harness.state.zoneStats() {
		last := s.trends[z.Zone]
		switch {
		case (z.Share > last.turn) == last.rising:
			last.turn = z.Share
		case math.Abs(z.Share-last.turn) >= turn:
			last = trend{turn: z.Share, rising: !last.rising}
			s.result.Swings++
		}
		s.trends[z.Zone] = last
	}
}

func (s *zoneSimulator) arrive(zone int) {
	if s.elapsed() >= s.Span {
		return
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/max(1, s.Rate(zone, s.elapsed()))*float64(time.Second)), zoneArrival{zone: zone})
	call := &simulatedCall{contract: s.drawContract(), zone: zoneName(zone), started: s.harness.now, counted: s.elapsed() >= s.counting}
	if s.StrangeZone && zone == 0 {
		call.zone = "strange"
	}
	call.instance = hemlocktally.InstanceID(fmt.Sprintf("%s-%d", call.zone, s.random.IntN(instancesPerZone)))
	if call.counted {
		s.result.Asked++
		if call.contract.Name == "c" {
			s.result.CalmAsked++
		}
	}
	call.acquire = s.harness.request()
	call.acquire.From, call.acquire.Zone, call.acquire.ReplyBy = call.instance, call.zone, s.harness.now.Add(time.Hour)
	r := &call.acquire.Request
	r.Contract, r.NonIdempotent = call.contract.Name, call.contract.NonIdempotent
	r.Objective, r.Deadline = call.started.Add(call.contract.Objective), call.started.Add(call.contract.Objective+simulatedGrace)
	s.calls[call.acquire.Ticket] = call
	s.execute(s.harness.update(call.acquire))
}

func (s *zoneSimulator) drawContract() simulatedContract {
	total := 0.0
	for _, contract := range s.Contracts {
		total += contract.Weight
	}
	drawn := s.random.Float64() * total
	for _, contract := range s.Contracts {
		if drawn -= contract.Weight; drawn < 0 {
			return contract
		}
	}
	return s.Contracts[0]
}

// pace returns the pace of a target during a phase. It depends on the seed only, so that runs
// with and without the decision meet the same targets.
func (s *zoneSimulator) pace(name hemlocktally.TargetName, at time.Time) (pace float64, until time.Time) {
	n := s.numbers[name]
	offset := s.offsets[name]
	since := at.Sub(startTime) + offset
	until = at.Add(slowPhase - since%slowPhase)
	drawn := rand.New(rand.NewPCG(s.seed^n<<32, uint64(since/slowPhase)))
	if drawn.Float64() >= s.SlowShare {
		return 1, until
	}
	return 2 + 5*drawn.Float64(), until
}

// finish returns when work that starts now ends on the target.
func (s *zoneSimulator) finish(name hemlocktally.TargetName, work time.Duration) time.Time {
	at := s.harness.now
	for {
		pace, until := s.pace(name, at)
		if done := at.Add(time.Duration(pace * float64(work))); !done.After(until) {
			return done
		}
		work -= time.Duration(float64(until.Sub(at)) / pace)
		at = until
	}
}

func (s *zoneSimulator) load(name hemlocktally.TargetName) *hemlocktally.Load {
	pace, _ := s.pace(name, s.harness.now)
	return &hemlocktally.Load{Slots: s.Slots, Running: s.running[name], Pace: pace}
}

func (s *zoneSimulator) execute(commands []any) {
	for _, command := range commands {
		switch command := command.(type) {
		case GrantCmd:
			s.start(s.calls[command.Ticket], command)
		case RefuseCmd:
			call := s.calls[command.Ticket]
			call.hedgeRefused = command.Error.Detail
			if len(call.attempts) == 0 && call.counted {
				s.result.Refused++
			}
		case ProbeCmd:
			s.schedule(simulatedProbe, probeAnswer{target: command.Target})
		}
	}
}

// start starts an attempt on its target.
func (s *zoneSimulator) start(call *simulatedCall, command GrantCmd) {
	a := &simulatedAttempt{call: call, grant: command.Grant, started: s.harness.now}
	if call.done {
		s.execute(s.harness.update(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: a.grant, Outcome: hemlocktally.AttemptUnused}}))
		return
	}
	call.attempts = append(call.attempts, a)
	name := command.Grant.Target.Name
	s.running[name]++
	away := command.Grant.Target.Zone != call.zone
	if call.counted {
		s.countStart(call, command, away)
	}
	overhead := time.Duration(0)
	if away {
		overhead += 2 * simulatedDelay
	}
	link := string(call.instance) + " " + string(name)
	if s.idle[link] > 0 {
		s.idle[link]--
	} else {
		overhead += simulatedConnection
	}
	spread := 1 + simulatedWorkSpread*(2*s.random.Float64()-1)
	end := s.finish(name, time.Duration(spread*float64(call.contract.Work))).Add(overhead)
	if deadline := call.acquire.Request.Deadline; s.dead[command.Grant.Target.Zone] || end.After(deadline) {
		s.schedule(deadline.Sub(s.harness.now), deadlineOver{attempt: a})
	} else {
		s.schedule(end.Sub(s.harness.now), attemptEnd{attempt: a})
	}
	if len(call.attempts) == 1 && !call.contract.NonIdempotent {
		s.schedule(s.hedgeDelay(call), hedgeDue{call: call})
	}
}

func (s *zoneSimulator) countStart(call *simulatedCall, command GrantCmd, away bool) {
	if len(call.attempts) == 1 {
		s.result.Waits += s.harness.now.Sub(call.started)
	} else {
		s.result.Hedges++
	}
	if away {
		s.result.Left++
		s.result.Reasons[command.Rationale.Left]++
		s.result.MB += float64(call.contract.Bytes) / bytesPerMB
	}
}

// hedgeDelay is the delay of the second attempt as the dispatcher sets it.
func (s *zoneSimulator) hedgeDelay(call *simulatedCall) time.Duration {
	waited := s.harness.now.Sub(call.started)
	if !s.Spillover || s.Off {
		return max(0, call.contract.Objective/2-waited)
	}
	work := float64(call.contract.Work)
	return max(min(call.contract.Objective/2, call.contract.Objective-time.Duration(2*work))-waited, time.Duration(1.3*work))
}

func (s *zoneSimulator) hedge(call *simulatedCall) {
	if call.done || len(call.attempts) != 1 {
		return
	}
	msg := call.acquire
	msg.Ticket += "h"
	msg.Request.Kind = hemlocktally.AttemptHedge
	msg.Request.Exclude = []hemlocktally.TargetName{call.attempts[0].grant.Target.Name}
	s.calls[msg.Ticket] = call
	s.execute(s.harness.update(msg))
}

// end ends an attempt. The first response ends the call, and cancels its other attempt.
func (s *zoneSimulator) end(a *simulatedAttempt, outcome hemlocktally.AttemptOutcome) {
	if a.ended {
		return
	}
	a.ended = true
	call, name := a.call, a.grant.Target.Name
	s.running[name]--
	result := hemlocktally.GrantResult{
		Grant: a.grant, Contract: call.contract.Name, Outcome: outcome, Latency: s.harness.now.Sub(a.started),
	}
	if outcome == hemlocktally.AttemptDone {
		result.Load, result.ResponseBytes = s.load(name), call.contract.Bytes
		s.idle[string(call.instance)+" "+string(name)]++
	}
	if !call.done && outcome != hemlocktally.AttemptCancelled {
		call.done = true
		s.countEnd(call, outcome)
	}
	s.execute(s.harness.update(ReleaseMsg{Result: result}))
	for _, other := range call.attempts {
		if !other.ended && outcome == hemlocktally.AttemptDone {
			s.end(other, hemlocktally.AttemptCancelled)
		}
	}
}

func (s *zoneSimulator) countEnd(call *simulatedCall, outcome hemlocktally.AttemptOutcome) {
	if !call.counted {
		return
	}
	if outcome == hemlocktally.AttemptDone && !s.harness.now.After(call.acquire.Request.Objective) {
		s.result.Prompt++
		return
	}
	s.result.Late++
	if s.late != nil {
		s.late[fmt.Sprintf("%s %d %.28s", call.contract.Name, len(call.attempts), strings.TrimLeft(call.hedgeRefused, "0123456789"))]++
	}
	if call.contract.Name == "c" {
		s.result.CalmLate++
	}
}

// The deployments that the decision is for, at a third of their size.

// waves is the course of the demand: each zone swings by 15 percent with a period of 11 s, one
// after the other; each has a burst of 1.7 times for 3 s; half of the last zone's callers move
// to the first one for 6.5 s.
func waves(total float64) func(int, time.Duration) float64 {
	shares := [3]float64{0.32, 0.26, 0.42}
	return func(zone int, at time.Duration) float64 {
		phase := 2 * math.Pi * (at.Seconds()/11 - float64(zone)/3)
		rate := shares[zone] * (1 + 0.15*math.Sin(phase))
		if start := time.Duration(3+5*zone) * time.Second; at >= start && at < start+3*time.Second {
			rate *= 1.7
		}
		if moved := 0.5 * shares[2]; at >= 17*time.Second && at < 23500*time.Millisecond {
			rate += [3]float64{moved, 0, -moved}[zone]
		}
		return rate * total
	}
}

// calm is a constant demand in the zones' proportions.
func calm(total float64) func(int, time.Duration) float64 {
	return func(zone int, _ time.Duration) float64 { return [3]float64{0.32, 0.26, 0.42}[zone] * total }
}

// gateway is a service of 46 targets with two slots.
func gateway(rate func(int, time.Duration) float64, span time.Duration) zoneSimulation {
	return zoneSimulation{
		Targets: [3]int{11, 20, 15}, Slots: 2, Span: span, SlowShare: 0.28, Rate: rate,
		Contracts: []simulatedContract{
			{Name: "c", Weight: 0.6, Work: 160 * time.Millisecond, Objective: 500 * time.Millisecond, Bytes: 4000},
			{Name: "write", Weight: 0.25, Work: 160 * time.Millisecond, Objective: 900 * time.Millisecond, Bytes: 1000, NonIdempotent: true},
			{Name: "download", Weight: 0.15, Work: 210 * time.Millisecond, Objective: 1200 * time.Millisecond, Bytes: 1500000, Large: true},
		},
	}
}

// quick is a service of 31 targets with four slots and less work.
func quick(rate func(int, time.Duration) float64, span time.Duration) zoneSimulation {
	return zoneSimulation{
		Targets: [3]int{13, 7, 11}, Slots: 4, Span: span, SlowShare: 0.28, Rate: rate,
		Contracts: []simulatedContract{
			{Name: "c", Weight: 0.6, Work: 66 * time.Millisecond, Objective: 200 * time.Millisecond, Bytes: 2000},
			{Name: "write", Weight: 0.4, Work: 140 * time.Millisecond, Objective: 500 * time.Millisecond, Bytes: 2000, NonIdempotent: true},
		},
	}
}

func (p zoneSimulation) with(spillover bool) zoneSimulation {
	p.Spillover = spillover
	return p
}
