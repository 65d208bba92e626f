package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/experimenter"
)

// attempt is one request of a caller, and what it was told.
type attempt struct {
	name    string // name is the work's with the number of the attempt.
	began   time.Time
	ended   time.Time
	outcome hemlocktally.Outcome // outcome is empty where no answer came.
	ranAs   string               // ranAs is the attempt whose run the answer tells of.
}

// ledger keeps the attempts of each work.
type ledger struct {
	mu    sync.Mutex
	works map[string][]*attempt
}

func (l *ledger) next(w work) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.works == nil {
		l.works = map[string][]*attempt{}
	}
	a := &attempt{name: fmt.Sprintf("%s#%d", w.name, len(l.works[w.name])+1)}
	l.works[w.name] = append(l.works[w.name], a)
	return a
}

// judge compares what callers were told with what targets ran.
func (s *Soak) judge() {
	runs := map[string]int{}
	for _, target := range s.fleet.Targets {
		for name, n := range target.Works() {
			runs[name] += n
		}
	}
	total := map[string]int{}
	for name, n := range runs {
		if strings.HasPrefix(name, experimenter.NonIdempotentWork) {
			base, _, _ := strings.Cut(name, "#")
			total[base] += n
		}
	}
	for base, n := range total {
		if n > 1 {
			s.broke(&s.report.Doubled, 1, fmt.Sprintf("work %s ran %d times: %s", base, n, s.ledger.describe(base, runs)))
		}
	}
	for base, attempts := range s.ledger.works {
		for _, a := range attempts {
			if a.outcome == hemlocktally.OutcomeNotRun && runs[a.name] > 0 {
				s.broke(&s.report.FalseNotRun, 1, fmt.Sprintf("attempt %s was refused as not run and ran", a.name))
			}
		}
		if strings.HasPrefix(base, experimenter.NonIdempotentWork) && !legal(attempts) {
			s.broke(&s.report.Illegal, 1, "no register gives the history "+s.ledger.describe(base, runs))
		}
	}
}

func (l *ledger) describe(base string, runs map[string]int) string {
	var b strings.Builder
	for _, a := range l.works[base] {
		fmt.Fprintf(&b, "%s %q ran %d; ", a.name, a.outcome, runs[a.name])
	}
	return b.String()
}
