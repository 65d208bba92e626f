package claimer

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"hemlocktally"
)

// Keys in the store. The table must never be deleted: its epochs tell a holder
// whether another instance held a range before.
const (
	keyPrefix  = "Claims/"
	tableKey   = keyPrefix + "Table"
	markPrefix = keyPrefix + "Leases/"
)

const (
	watchWait  = 5 * time.Second
	watchPause = 250 * time.Millisecond
)

// watch follows the table and the lease markers until the context ends.
func (s *Server) watch(ctx context.Context) {
	after := uint64(0)
	s.refresh(ctx)
	for ctx.Err() == nil {
		entries, sequence, err := s.Store.Watch(ctx, keyPrefix, after, watchWait)
		if err != nil {
			pause(ctx, watchPause+rand.N(watchPause))
			s.refresh(ctx)
			continue
		}
		after = sequence
		s.sendListing(ctx, entries)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// refresh lists the table and the lease markers once.
func (s *Server) refresh(ctx context.Context) {
	entries, err := s.Store.List(ctx, keyPrefix)
	if err == nil {
		s.sendListing(ctx, entries)
	}
}

func (s *Server) sendListing(ctx context.Context, entries []hemlocktally.Entry) {
	msg := TableMsg{LiveLeases: map[string]bool{}}
	for _, e := range entries {
		if lease, ok := strings.CutPrefix(e.Key, markPrefix); ok {
			msg.LiveLeases[lease] = true
		}
		if e.Key != tableKey {
			continue
		}
		table, err := DecodeTable(e.Value, e.Version)
		if err != nil {
			return
		}
		msg.Table = table
	}
	s.send(ctx, msg)
}

// mark writes the lease's marker, a key that the store deletes with the lease.
func (s *Server) mark(ctx context.Context, c MarkCmd) {
	entry := hemlocktally.Entry{Key: markPrefix + c.Lease, Value: []byte(s.Self.ID), Lease: c.Lease}
	_, err := s.Store.CompareAndSwap(ctx, entry)
	var conflict *hemlocktally.ConflictError
	if err == nil || errors.As(err, &conflict) && conflict.Current.Lease == c.Lease {
		s.send(ctx, MarkedMsg(c))
	}
}

// swap replaces the table in the store, if its version is still c.Table.Version.
func (s *Server) swap(ctx context.Context, c SwapCmd) {
	out := SwapMsg{Base: c.Table.Version, Table: c.Table, Result: SwapFailed}
	value, err := c.Table.Encode()
	if err == nil {
		out.Table.Version, err = s.Store.CompareAndSwap(ctx, hemlocktally.Entry{Key: tableKey, Value: value, Version: c.Table.Version})
	}
	var lost *hemlocktally.StoreError
	switch {
	case err == nil:
		out.Result = SwapDone
	case errors.As(err, &lost) && lost.Unknown:
		out.Result = SwapUnknown
	}
	s.send(ctx, out)
}
