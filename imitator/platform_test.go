package imitator_test

import (
	"context"
	"errors"
	"net/http/httptest"
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

func TestLaggingReplicaAnswersWithThePast(t *testing.T) {
	c := qt.New(t)
	platform, store := startPlatform(t)
	ctx := context.Background()
	_, err := store.CompareAndSwap(ctx, hemlocktally.Entry{Key: "a", Value: []byte("1")})
	c.Assert(err, qt.IsNil)
	platform.SetFaults(imitator.PlatformFaults{StaleReads: 1, ReplicaLag: time.Hour})
	_, err = store.Get(ctx, "a")
	c.Check(storer.IsAbsent(err), qt.IsTrue)
	_, err = store.CompareAndSwap(ctx, hemlocktally.Entry{Key: "a", Value: []byte("2")})
	var conflict *hemlocktally.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Check(string(conflict.Current.Value), qt.Equals, "1")
	platform.SetFaults(imitator.PlatformFaults{})
	entry, err := store.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Check(string(entry.Value), qt.Equals, "1")
}

func TestLargeValueIsRefused(t *testing.T) {
	c := qt.New(t)
	_, store := startPlatform(t)
	_, err := store.CompareAndSwap(context.Background(), hemlocktally.Entry{Key: "a", Value: make([]byte, 1<<20+1)})
	var failed *hemlocktally.StoreError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Check(failed.Unknown, qt.IsFalse)
}

func TestEndedLeaseTakesItsKeysAndWakesOnlyTheirWatch(t *testing.T) {
	c := qt.New(t)
	platform, store := startPlatform(t)
	ctx := context.Background()
	lease, err := store.Grant(ctx, time.Hour)
	c.Assert(err, qt.IsNil)
	_, err = store.CompareAndSwap(ctx, hemlocktally.Entry{Key: "Other/x", Value: []byte("1")})
	c.Assert(err, qt.IsNil)
	_, err = store.CompareAndSwap(ctx, hemlocktally.Entry{Key: "Instances/a", Value: []byte("1"), Lease: lease.ID})
	c.Assert(err, qt.IsNil)
	found, after, err := store.Watch(ctx, "Instances/", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.HasLen, 1)
	platform.EndLease(lease.ID)
	found, _, err = store.Watch(ctx, "Instances/", after, time.Hour)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.HasLen, 0)
	c.Check(storer.IsAbsent(store.Renew(ctx, lease.ID)), qt.IsTrue)
	c.Check(platform.Counters().Watches, qt.Equals, uint64(2))
}
