package balancer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/imitator"
)

// documentWithCustomers returns the document of a fleet with customers, whose names are their keys.
func documentWithCustomers(c *qt.C, version int, rates map[string]float64) string {
	c.Helper()
	var parsed map[string]any
	c.Assert(json.Unmarshal([]byte(document(version)), &parsed), qt.IsNil)
	resources := parsed["resources"].([]any)
	for name, rate := range rates {
		resources = append(resources, map[string]any{
			"resourceType": "tenants", "metadata": map[string]any{"name": name},
			"spec": map[string]any{"apiKeys": []string{"key-" + name}, "ratePerS": rate, "burst": rate},
		})
	}
	parsed["resources"] = resources
	text, err := json.Marshal(parsed)
	c.Assert(err, qt.IsNil)
	return string(text)
}

// callAs makes a call of a customer.
func (f *fleet) callAs(customer string, i *instance, id string) callResult {
	request, err := http.NewRequest(http.MethodGet, "http://"+i.settings.Listen.Callers+"/read/x", strings.NewReader(id))
	if err != nil {
		return callResult{err: err}
	}
	imitator.SetCall(request, id, 2000)
	request.Header.Set("Authorization", "Bearer key-"+customer)
	response, err := f.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// executed returns when the calls whose IDs begin with the prefix ran, in order.
func (f *fleet) executed(prefix string) []time.Time {
	var times []time.Time
	for _, u := range f.upstreams {
		for _, arrival := range u.ArrivalList() {
			if strings.HasPrefix(arrival.ID, prefix) {
				times = append(times, arrival.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// Customers are held to their quotas over all instances while a hub stops: one sends several times
// its quota, and another one stays within its own.
func TestCustomersGetNoMoreThanTheirQuotas(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b", "c")
	f.directory.Declare(documentWithCustomers(c, 5, map[string]float64{"flood": 20, "calm": 20}))
	for n, i := range f.instances {
		for f.callAs("unknown", i, fmt.Sprintf("wait-%d", n)).status != http.StatusUnauthorized {
			time.Sleep(20 * time.Millisecond)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	stop := time.AfterFunc(6*time.Second, f.instances[0].stop)
	defer stop.Stop()
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]map[int]int{"flood": {}, "calm": {}}
	for customer, pause := range map[string]time.Duration{"flood": 7 * time.Millisecond, "calm": 100 * time.Millisecond} {
		group.Go(func() {
			var calls sync.WaitGroup
			for n := 0; ctx.Err() == nil; n++ {
				i := f.instances[1+n%2]
				calls.Go(func() {
					got := f.callAs(customer, i, fmt.Sprintf("%s-%d", customer, n))
					mu.Lock()
					defer mu.Unlock()
					counts[customer][got.status]++
					if got.status == http.StatusTooManyRequests {
						wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
						c.Check(err == nil && wait > 0 && wait <= 6, qt.IsTrue, qt.Commentf("Retry-After %q", got.header.Get("Retry-After")))
						c.Check(got.body, qt.Contains, `"NotRun"`)
					}
				})
				time.Sleep(pause)
			}
			calls.Wait()
		})
	}
	group.Wait()
	const allowed = 1.1 * (20*5 + 20) // The settings of the test's instances name no slack.
	times := f.executed("flood-")
	worst, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= 5*time.Second {
			first++
		}
		worst = max(worst, last-first+1)
	}
	t.Logf("%v, at most %d executed in a window", counts, worst)
	c.Check(worst <= allowed, qt.IsTrue, qt.Commentf("%d executed in a window, %.0f allowed", worst, allowed))
	c.Check(counts["flood"][http.StatusTooManyRequests] > 100, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts["calm"][http.StatusTooManyRequests], qt.Equals, 0, qt.Commentf("%v", counts))
	c.Check(f.callAs("unknown", f.instances[1], "x").status, qt.Equals, http.StatusUnauthorized)
}
