package storer_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/imitator"
	"hemlocktally/storer"
)

func startPlatform(t *testing.T) (*imitator.Platform, *storer.Client) {
	t.Helper()
	platform := &imitator.Platform{Seed: 1}
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return platform, &storer.Client{BaseURL: server.URL, Timeout: time.Second, HTTP: server.Client()}
}

func TestOpenCircuitSendsOnlyProbes(t *testing.T) {
	c := qt.New(t)
	platform, client := startPlatform(t)
	platform.SetFaults(imitator.PlatformFaults{Down: true})
	var last error
	for range 50 {
		_, last = client.Get(context.Background(), "a")
	}
	var outage *storer.OutageError
	c.Assert(errors.As(last, &outage), qt.IsTrue)
	var failed *hemlocktally.StoreError
	c.Assert(errors.As(last, &failed), qt.IsTrue)
	c.Check(failed.Unknown, qt.IsFalse)
	c.Check(platform.Counters().Refused < 10, qt.IsTrue, qt.Commentf("%d", platform.Counters().Refused))
	_, down := client.Down()
	c.Check(down, qt.IsTrue)

	platform.SetFaults(imitator.PlatformFaults{})
	deadline := time.Now().Add(10 * time.Second)
	for !storer.IsAbsent(last) && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
		_, last = client.Get(context.Background(), "a")
	}
	_, down = client.Down()
	c.Check(down, qt.IsFalse)
}

func TestBudgetIsDividedByFleetSize(t *testing.T) {
	c := qt.New(t)
	_, client := startPlatform(t)
	client.Budget = storer.Budget{ReadsPerSecond: 10, WritesPerSecond: 10}
	client.Timeout = 50 * time.Millisecond
	client.SetFleetSize(100)
	var last error
	for i := 0; i < 100 && (last == nil || storer.IsAbsent(last)); i++ {
		_, last = client.Get(context.Background(), "a")
	}
	var exhausted *storer.BudgetError
	c.Assert(errors.As(last, &exhausted), qt.IsTrue)
	c.Check(exhausted.Share, qt.Equals, 0.1)
	counter := client.Counters()[0]
	c.Check(counter.Operation, qt.Equals, "get")
	c.Check(counter.Calls, qt.Equals, uint64(20))
	c.Check(counter.NotSent > 0, qt.IsTrue)
}

func TestSwapIsNotRetriedAndLostResponseIsUnknown(t *testing.T) {
	c := qt.New(t)
	platform, client := startPlatform(t)
	platform.SetFaults(imitator.PlatformFaults{LoseWriteAnswers: 1})
	_, err := client.CompareAndSwap(context.Background(), hemlocktally.Entry{Key: "a", Value: []byte("1")})
	var failed *hemlocktally.StoreError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Check(failed.Unknown, qt.IsTrue)
	c.Check(platform.Counters().Writes, qt.Equals, uint64(1))
}

func TestSettleReturnsFinalVerdict(t *testing.T) {
	for _, test := range []struct {
		name string
		puts []string // puts are the values written before Settle; "mine" is the lost write.
		want storer.Verdict
	}{
		{"lost response", []string{"mine"}, storer.VerdictWritten},
		{"lost response, then another write", []string{"mine", "mine,other"}, storer.VerdictWritten},
		{"lost request", nil, storer.VerdictNotWritten},
		{"another write won", []string{"other"}, storer.VerdictNotWritten},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, client := startPlatform(t)
			ctx := context.Background()
			version := hemlocktally.StoreVersion(0)
			for _, value := range test.puts {
				var err error
				version, err = client.CompareAndSwap(ctx, hemlocktally.Entry{Key: "k", Value: []byte(value), Version: version})
				c.Assert(err, qt.IsNil)
			}
			lost := storer.UnconfirmedWrite{
				Entry: hemlocktally.Entry{Key: "k", Value: []byte("mine")}, Fence: []byte("fence"),
				Includes: func(present []byte) (bool, error) { return strings.HasPrefix(string(present), "mine"), nil },
			}
			verdict, err := storer.Settle(ctx, client, lost)
			c.Assert(err, qt.IsNil)
			c.Check(verdict, qt.Equals, test.want)
			_, err = client.CompareAndSwap(ctx, lost.Entry) // The request that was in flight arrives late.
			var conflict *hemlocktally.ConflictError
			c.Check(errors.As(err, &conflict), qt.IsTrue)
		})
	}
}

func TestSettleReturnsUnknownDuringOutage(t *testing.T) {
	c := qt.New(t)
	platform, client := startPlatform(t)
	platform.SetFaults(imitator.PlatformFaults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	verdict, err := storer.Settle(ctx, client, storer.UnconfirmedWrite{Entry: hemlocktally.Entry{Key: "k"}})
	c.Check(verdict, qt.Equals, storer.VerdictUnknown)
	c.Check(err, qt.IsNotNil)
}
