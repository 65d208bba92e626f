package claimer

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"hemlocktally"
)

// Keys of the store. The table must never be deleted: its epochs tell a holder
// whether another one had a range before.
const (
	keyPrefix  = "Claims/"
	tableKey   = keyPrefix + "Table"
	markPrefix = keyPrefix + "Leases/"
)

const (
	watchWait  = 5 * time.Second
	watchPause = 250 * time.Millisecond
)

// watch follows the table and the marks until the context ends.
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
		s.show(ctx, entries)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// refresh lists the table and the marks once.
func (s *Server) refresh(ctx context.Context) {
	entries, err := s.Store.List(ctx, keyPrefix)
	if err == nil {
		s.show(ctx, entries)
	}
}

func (s *Server) show(ctx context.Context, entries []hemlocktally.Entry) {
	msg := AssignmentMsg{Live: map[string]bool{}}
	for _, e := range entries {
		if lease, ok := strings.CutPrefix(e.Key, markPrefix); ok {
			msg.Live[lease] = true
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

// mark writes the key that goes away with the lease.
func (s *Server) mark(ctx context.Context, c MarkCmd) {
	entry := hemlocktally.Entry{Key: markPrefix + c.Lease, Value: []byte(s.Self.ID), Lease: c.Lease}
	_, err := s.Store.Swap(ctx, entry)
	var conflict *hemlocktally.ConflictError
	if err == nil || errors.As(err, &conflict) && conflict.Present.Lease == c.Lease {
		s.send(ctx, MarkedMsg(c))
	}
}

// swap writes the table in place of the version that it names.
func (s *Server) swap(ctx context.Context, c SwapCmd) {
	out := SwapMsg{Base: c.Table.Version, Table: c.Table, Result: SwapFailed}
	value, err := c.Table.Encode()
	if err == nil {
		out.Table.Version, err = s.Store.Swap(ctx, hemlocktally.Entry{Key: tableKey, Value: value, Version: c.Table.Version})
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
