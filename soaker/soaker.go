// Package soaker runs a fleet of real instances under load while faults of all
// kinds come and go at random, together and twice, from one seed. It checks the
// promises all the time and reports each that was broken.
package soaker

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/logger"
)

// Soak is one run. Its zero value runs a minute with 16 instances from seed 0.
type Soak struct {
	Seed      uint64
	Span      time.Duration
	Instances int
	Rate      float64       // Rate is how many works a second start; zero means 120.
	Faults    []Fault       // Faults replace the schedule that the seed gives, where set.
	Quiet     time.Duration // Quiet is the time without faults at the end; zero means 4 s.
	Trace     io.Writer     // Trace takes each fault and each broken promise; it may be nil.

	fleet   *experimenter.Fleet
	mu      sync.Mutex
	slots   []*slot
	targets map[string]*targetFaults
	store   []Fault // store holds the faults of the store in force.
	disturb int     // disturb counts the faults in force that hide a stop from instances.
	started time.Time
	tail    []string
	ledger  ledger
	report  Report
}

// slot is one instance of the fleet, as the soak uses it.
type slot struct {
	index    int
	gone     bool // gone is set once it was stopped or crashed.
	crashed  bool
	stopping bool // stopping is set from the start of a planned stop.
	paused   int
	halted   bool // halted is set once the instance was paused and stopping at the same time.
	revision hemlocktally.Revision
}

// Report is the result of a run.
type Report struct {
	Seed      uint64
	Faults    int
	Works     int
	Attempts  int
	Done      int
	Replayed  int
	NotRun    int
	Unknown   int
	Broken    int // Broken counts attempts without an answer.
	Abandoned int // Abandoned counts works that ended without a Done.

	Doubled     int // Doubled counts works that ran more than once.
	FalseNotRun int // FalseNotRun counts attempts that were refused as not run and ran.
	Wrong       int // Wrong counts mixed or short answers.
	Illegal     int // Illegal counts keys whose history no register of claims could give.
	Reverted    int // Reverted counts revisions that fell on an instance.
	ZoneWork    int // ZoneWork counts calls started in a zone more than 2 s after it was taken out, with the store up.
	Cut         int // Cut counts calls cut by a planned stop.
	Invariants  int // Invariants counts broken invariants that instances logged.
	CutPaused   int // CutPaused is like Cut, at instances that were paused while they stopped.
	Hidden      int // Hidden is like ZoneWork, while the store or peers were at fault.
	Changes     int
	RacesLost   int
	StopFailed  []string
	Reasons     map[string]int // Reasons counts refusals by outcome and reason.
}

// Broke reports whether any promise was broken.
func (r Report) Broke() bool {
	return r.Doubled+r.FalseNotRun+r.Wrong+r.Illegal+r.Reverted+r.ZoneWork+r.Cut+r.CutPaused+r.Invariants > 0
}

const (
	defaultInstances = 16
	defaultRate      = 120
	defaultSpan      = time.Minute
	defaultQuiet     = 4 * time.Second
	tailLines        = 40
)

func (s *Soak) defaults() {
	if s.Instances <= 0 {
		s.Instances = defaultInstances
	}
	if s.Rate <= 0 {
		s.Rate = defaultRate
	}
	if s.Span <= 0 {
		s.Span = defaultSpan
	}
	if s.Quiet <= 0 {
		s.Quiet = defaultQuiet
	}
	if s.Faults == nil {
		s.Faults = Schedule(s.Seed, max(0, s.Span-s.Quiet))
	}
}

// Run starts the fleet, the callers and the faults, and stops all of them. The
// report is whole also where a promise was broken; the error is of the run.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.defaults()
	s.report.Seed, s.report.Faults = s.Seed, len(s.Faults)
	s.report.Reasons = map[string]int{}
	deployment := experimenter.Association()
	deployment.Instances, deployment.Seed, deployment.Log = s.Instances, s.Seed, s.logger()
	fleet, err := experimenter.Start(ctx, deployment)
	if err != nil {
		return s.report, err
	}
	s.fleet = fleet
	s.begin()
	load, cancel := context.WithTimeout(ctx, s.Span)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { s.call(load) })
	tasks.Go(func() { s.watchRevisions(load) })
	tasks.Go(func() { s.runFaults(load) })
	tasks.Wait()
	s.mu.Lock()
	for _, x := range s.slots {
		s.resume(x)
	}
	s.mu.Unlock()
	if err := fleet.Stop(); err != nil {
		s.report.StopFailed = append(s.report.StopFailed, err.Error())
	}
	s.judge()
	return s.report, ctx.Err()
}

func (s *Soak) begin() {
	s.started = time.Now()
	s.targets = map[string]*targetFaults{}
	for i := range s.fleet.Daemons {
		s.slots = append(s.slots, &slot{index: i})
	}
}

// logger counts the invariants that instances log.
func (s *Soak) logger() logger.Logger {
	out := logrus.New()
	out.SetOutput(io.Discard)
	out.AddHook(&invariantHook{soak: s})
	return logger.Logger{Out: out}
}

type invariantHook struct {
	soak *Soak
}

// Levels returns the levels at which invariants are logged.
func (h *invariantHook) Levels() []logrus.Level { return []logrus.Level{logrus.ErrorLevel} }

// Fire counts an invariant.
func (h *invariantHook) Fire(entry *logrus.Entry) error {
	if !isInvariant(entry.Message) {
		return nil
	}
	h.soak.broke(&h.soak.report.Invariants, 1, fmt.Sprintf("%s: %v", entry.Message, entry.Data))
	return nil
}

// broke counts a broken promise and notes it.
func (s *Soak) broke(counter *int, n int, detail string) {
	if n == 0 {
		return
	}
	s.mu.Lock()
	*counter += n
	s.mu.Unlock()
	s.note("BROKEN " + detail)
}

// note writes one line of the trace.
func (s *Soak) note(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line = fmt.Sprintf("%s %s", time.Since(s.started).Round(time.Millisecond), line)
	s.tail = append(s.tail, line)
	if len(s.tail) > tailLines {
		s.tail = s.tail[1:]
	}
	if s.Trace != nil {
		_, _ = fmt.Fprintln(s.Trace, line)
	}
}

// Tail returns the last lines of the trace.
func (s *Soak) Tail() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.tail...)
}

// Progress returns how many works have started and how many are done.
func (s *Soak) Progress() (works, done int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Works, s.report.Done
}
