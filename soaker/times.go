package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/claimer"
	"hemlocktally/experimenter"
)

// ClaimTimes measures claims on a fleet without other faults.
type ClaimTimes struct {
	Instances int // Instances is the size of the fleet; zero means 16.
	Rounds    int // Rounds is how many instances crash, and how many stop; zero means 3.
	Calls     int // Calls is how many calls are timed with and without a key; zero means 400.

	fleet  *experimenter.Fleet
	client *http.Client
	report TimesReport
}

// TimesReport is what was measured.
type TimesReport struct {
	WithoutKey    []time.Duration
	WithKey       []time.Duration
	Answered      []time.Duration // Answered is from a crash until a key of a lost range is no longer refused.
	Resumed       []time.Duration // Resumed is from a crash until a new key of a lost range runs.
	HandedOver    []time.Duration // HandedOver is from a planned stop until its ranges have other holders.
	StopRefusals  int             // StopRefusals counts keyed calls that were not done during planned stops.
	StopCalls     int
	IdlePerSecond float64 // IdlePerSecond counts the store's calls with no work.
	BusyPerSecond float64 // BusyPerSecond counts them while keyed calls run one after another.
}

// Median returns the middle of the times.
func Median(times []time.Duration) time.Duration { return quantile(times, 0.5) }

// Worst returns the longest of the times.
func Worst(times []time.Duration) time.Duration { return quantile(times, 1) }

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

const (
	storeSpan   = 5 * time.Second
	rebalance   = 4 * time.Second
	resumeLimit = 30 * time.Second
	resumePause = 10 * time.Millisecond
)

// Run measures and returns the report.
func (t *ClaimTimes) Run(ctx context.Context) (TimesReport, error) {
	setDefault(&t.Instances, defaultInstances)
	setDefault(&t.Rounds, 3)
	setDefault(&t.Calls, 400)
	deployment := experimenter.Association()
	deployment.Instances, deployment.Seed = t.Instances, 1
	fleet, err := experimenter.Start(ctx, deployment)
	if err != nil {
		return t.report, err
	}
	t.fleet = fleet
	t.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: callTimeout}
	defer t.client.CloseIdleConnections()
	time.Sleep(rebalance)
	t.report.IdlePerSecond = t.storeCalls(func() { time.Sleep(storeSpan) })
	t.report.BusyPerSecond = t.storeCalls(func() { t.compare(ctx) })
	for round := 0; round < t.Rounds && err == nil && ctx.Err() == nil; round++ {
		if err = t.crash(ctx, round); err == nil {
			err = t.stop(ctx)
		}
	}
	return t.report, errors.Join(err, ctx.Err(), fleet.Stop())
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

var errNoRange = errors.New("the newest instance holds no range")

// storeCalls returns the store's calls a second during the function.
func (t *ClaimTimes) storeCalls(during func()) float64 {
	total := func() uint64 {
		c := t.fleet.Platform.Counters()
		return c.Reads + c.Writes + c.Watches
	}
	before, started := total(), time.Now()
	during()
	return float64(total()-before) / time.Since(started).Seconds()
}

// compare times calls with and without a key in turn, on an idle fleet.
func (t *ClaimTimes) compare(ctx context.Context) {
	for n := range t.Calls {
		instance := t.fleet.Daemons[n%t.Instances].Self()
		for _, key := range []string{"", ulid.Make().String()} {
			started := time.Now()
			if t.post(ctx, instance, key) != hemlocktally.OutcomeDone {
				continue
			}
			if key == "" {
				t.report.WithoutKey = append(t.report.WithoutKey, time.Since(started))
			} else {
				t.report.WithKey = append(t.report.WithKey, time.Since(started))
			}
		}
	}
}

func (t *ClaimTimes) post(ctx context.Context, instance hemlocktally.Instance, key string) hemlocktally.Outcome {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance.CallerAddress+"/holds/1", strings.NewReader("a hold"))
	if err != nil {
		return ""
	}
	if key != "" {
		request.Header.Set(hemlocktally.HeaderIdempotencyKey, key)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return ""
	}
	return hemlocktally.Outcome(response.Header.Get(hemlocktally.HeaderOutcome))
}

// keyHeldBy returns a new key of a range that the instance holds.
func (t *ClaimTimes) keyHeldBy(held map[claimer.RangeID]bool) string {
	for {
		key := ulid.Make().String()
		id := claimer.KeyID{Caller: hemlocktally.AnonymousCaller, Contract: "Holds", Key: key}
		if held[claimer.RangeOf(id)] {
			return key
		}
	}
}

// last returns the newest instance, the one that asks, and the newest's ranges.
func (t *ClaimTimes) last() (at int, asker hemlocktally.Instance, held map[claimer.RangeID]bool) {
	at = len(t.fleet.Daemons) - 1
	asker = t.fleet.Daemons[0].Self()
	held = map[claimer.RangeID]bool{}
	table := t.fleet.Daemons[0].Claims().Table()
	for i, a := range table.Assignments {
		if a.Holder == t.fleet.Daemons[at].Self().ID {
			held[claimer.RangeID(i)] = true
		}
	}
	return at, asker, held
}

// crash ends the newest instance and asks until keys of its ranges run again.
func (t *ClaimTimes) crash(ctx context.Context, round int) error {
	at, asker, held := t.last()
	if len(held) == 0 {
		return errNoRange
	}
	t.fleet.Crash(at)
	started := time.Now()
	answered := time.Duration(0)
	for time.Since(started) < resumeLimit {
		outcome := t.post(ctx, asker, t.keyHeldBy(held))
		if outcome != hemlocktally.OutcomeNotRun && answered == 0 {
			answered = time.Since(started)
		}
		if outcome == hemlocktally.OutcomeDone {
			t.report.Answered = append(t.report.Answered, answered)
			t.report.Resumed = append(t.report.Resumed, time.Since(started))
			return t.refill(ctx)
		}
		time.Sleep(resumePause)
	}
	return fmt.Errorf("round %d: keys did not run again within %s", round, resumeLimit)
}

// refill starts a replacement and waits until it has its share of the ranges.
func (t *ClaimTimes) refill(ctx context.Context) error {
	i, err := t.fleet.Add(ctx)
	if err != nil {
		return err
	}
	for end := time.Now().Add(resumeLimit); time.Now().Before(end); time.Sleep(resumePause) {
		if _, _, held := t.last(); len(held) > 0 {
			time.Sleep(time.Second)
			return nil
		}
	}
	return fmt.Errorf("instance %d got no range within %s", i+1, resumeLimit)
}

// stop ends the newest instance as planned, under keyed calls for its ranges.
func (t *ClaimTimes) stop(ctx context.Context) error {
	at, asker, held := t.last()
	if len(held) == 0 {
		return errNoRange
	}
	t.fleet.StopInstance(at)
	started := time.Now()
	handed := time.Duration(0)
	for time.Since(started) < time.Second {
		t.report.StopCalls++
		if t.post(ctx, asker, t.keyHeldBy(held)) != hemlocktally.OutcomeDone {
			t.report.StopRefusals++
		}
		if _, _, still := t.last(); handed == 0 && len(still) == 0 {
			handed = time.Since(started)
		}
	}
	t.report.HandedOver = append(t.report.HandedOver, handed)
	return t.refill(ctx)
}
