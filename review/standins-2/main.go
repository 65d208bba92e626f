// Command standins plays one case of the review: it starts entry instances as separate
// processes, with stand-ins of the platform's store, upstreams and clients in this process, and
// checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// detail writes a line to the file alone.
func (r *record) detail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// requests writes what was sent, answered and run.
func (r *record) requests(callers *clients, upstreams []*upstream) {
	ran := map[string]string{}
	for _, u := range upstreams {
		runs := u.allRuns()
		for _, a := range u.seen() {
			ran[a.id] += fmt.Sprintf("; reached %s at %.3f, runs begun there: %d", u.id, r.at(a.at), runs[a.id])
		}
	}
	r.detail("requests: seconds from the start; status 0 means no answer")
	callers.mu.Lock()
	defer callers.mu.Unlock()
	for _, o := range callers.outcomes {
		r.detail("%s sent to %s at %.3f, status %d after %.3f, sealed %t%s", o.id, o.instance, r.at(o.sent), o.status, o.took.Seconds(), o.sealed, ran[o.id])
	}
}

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule was broken")

// maxRun bounds a case.
const maxRun = 110 * time.Second

// deployment is what all cases have in common.
type deployment struct {
	ctx     context.Context //nolint:containedctx // It ends with the case.
	log     *record
	fleet   *fleet
	store   *store
	trouble bool
}

var cases = map[string]func(*deployment) error{"leaving": leaving, "cold": cold, "revived": revived, "owners": owners, "status": status}

func main() { os.Exit(run()) }

func run() int {
	const wantedArgs = 4
	if len(os.Args) != wantedArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD")
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	log := &record{file: file, began: time.Now()}
	work, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		log.note("no temporary folder: %v", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(work) }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	d := &deployment{ctx: ctx, log: log, fleet: &fleet{root: os.Args[2], work: work}, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	defer d.fleet.stop()
	log.note("case %s, trouble: %v", os.Args[1], d.trouble)
	err = cases[os.Args[1]](d)
	switch {
	case errors.Is(err, errBroken):
		log.note("BROKEN: %v", err)
		return 1
	case err != nil:
		log.note("the case could not run: %v", err)
		return 2
	}
	log.note("HELD")
	return 0
}

// startFleet starts the given number of instances in each zone, and waits until they are ready.
func (d *deployment) startFleet(zones []string, each int) error {
	if err := d.fleet.pickNetwork(); err != nil {
		return err
	}
	for n := range each {
		for _, zone := range zones {
			name := fmt.Sprintf("edge-%s-%d", zone, n+1)
			address, err := d.store.serve(d.ctx, name)
			if err != nil {
				return err
			}
			if err := d.fleet.start(name, zone, address); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, 20*time.Second)
	defer cancel()
	return d.fleet.awaitReady(ctx)
}

// rest waits, and returns an error if an instance ends meanwhile.
func (d *deployment) rest(span time.Duration) error {
	select {
	case <-time.After(span):
		return d.fleet.running()
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
}

// serviceSpec is what an operator says of a service.
type serviceSpec struct {
	name       string
	coldPerS   float64
	routeType  string
	timeout    string
	target     string
	attempts   int
	host, path string
}

// configuration returns an operator's document with one route to one service.
func configuration(version int, s serviceSpec) string {
	text, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": []map[string]any{
		{"resourceType": "routes", "metadata": map[string]any{"name": "route-1"}, "spec": map[string]any{
			"hostname": s.host, "prefix": s.path, "routeType": s.routeType, "timeout": s.timeout, "targetLatency": s.target, "priority": 0,
			"service": s.name, "maxAttempts": s.attempts,
		}},
		{"resourceType": "services", "metadata": map[string]any{"name": s.name}, "spec": map[string]any{
			"healthPath": "/health", "maxConnections": 240, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": s.coldPerS,
		}},
		{"resourceType": "limits", "metadata": map[string]any{}, "spec": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
		}},
	}})
	return string(text)
}
