package runner_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/imitator"
)

// An instance that was paused when its planned stop came cuts none of the calls
// that reached it meanwhile: each gets a whole answer with an outcome. The
// longer pause is over the time that callers have for their headers.
func TestStopAfterAPauseCutsNoCall(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 6 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			fleet := startFleet(t)
			client := &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Second}
			defer client.CloseIdleConnections()
			paused := fleet.Daemons[1]
			paused.Pause()
			var group sync.WaitGroup
			var cut atomic.Int64
			begun := time.Now()
			for n := 0; time.Since(begun) < pause; n++ {
				group.Go(func() {
					if err := answered(client, paused.Self().CallerAddress, fmt.Sprintf("once-%d", n)); err != nil {
						cut.Add(1)
						t.Log(n, err)
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
			paused.Resume()
			fleet.StopInstance(1)
			group.Wait()
			c.Check(cut.Load(), qt.Equals, int64(0))
			c.Check(fleet.Doubled(), qt.Equals, 0)
		})
	}
}

// answered makes one call and returns an error where it gets no whole answer
// that tells its outcome.
func answered(client *http.Client, address, work string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/holds/1", strings.NewReader(work))
	if err != nil {
		return err
	}
	request.Header.Set(imitator.HeaderWork, work)
	request.Header.Set(hemlocktally.HeaderIdempotencyKey, work)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.Header.Get(hemlocktally.HeaderOutcome) == "" {
		err = fmt.Errorf("%d %s", response.StatusCode, body)
	}
	return err
}
