package follower

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Bounds of what hubs pass on.
const (
	syncHold    = 450 * time.Millisecond // syncHold is how long a hub keeps a question without news.
	syncTimeout = syncHold + 250*time.Millisecond
	startSpan   = 400 * time.Millisecond // startSpan is how long after its start an instance may still become what it was.
	maxRelayed  = 4 << 20                // maxRelayed bounds the entries that are passed on, in bytes.
)

// Sync answers a follower. It implements messenger.Relay.
func (f *Follower) Sync(ctx context.Context, in *messenger.SyncRequest) (*messenger.SyncResponse, error) {
	f.awaitPlace(ctx)
	if !f.isHub.Load() || f.leaving.Load() {
		return &messenger.SyncResponse{Leaving: true}, nil
	}
	count := f.followers.note(in.GetInstance(), time.Now())
	if f.handsOverTo(in) {
		return &messenger.SyncResponse{TakeOver: true, Version: in.GetVersion(), StoreAgeMicroseconds: f.storeAge().Microseconds(), Followers: int64(count)}, nil
	}
	f.noteInstances(count + 1)
	if in.GetStoreAnswers() && f.outOfTouch() {
		f.othersAreServed()
	}
	return f.awaitNews(ctx, in, count)
}

// awaitNews answers as soon as there is something that the caller lacks, or when the
// hold is over.
func (f *Follower) awaitNews(ctx context.Context, in *messenger.SyncRequest, count int) (*messenger.SyncResponse, error) {
	hold := time.NewTimer(f.holdFor(microseconds(in.GetHoldMicroseconds())))
	defer hold.Stop()
	for woken := false; ; woken = true {
		changed := f.published.wait()
		p := f.Picture()
		if version := f.versionOf(p); p.Version > 0 && f.isNews(version, in) {
			return f.answerSync(p, version, count)
		}
		// Only one that waits is told at once: answered on arrival, it would ask again
		// without a pause.
		if woken && !in.GetStoreAnswers() && f.outOfTouch() && f.since(&f.othersServed) < pollEvery {
			return f.answerSync(nil, in.GetVersion(), count)
		}
		select {
		case <-changed:
		case <-hold.C:
			return f.answerSync(nil, in.GetVersion(), count)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// isNews reports whether the caller lacks the version. What a hub out of touch with
// the store passes on is added to what is known, and not taken over as a whole.
func (f *Follower) isNews(version string, in *messenger.SyncRequest) bool {
	return version != in.GetVersion() && (version != in.GetAdded() || !f.outOfTouch())
}

// holdFor is how long a question is kept: a hub that gets out of touch with the
// store meanwhile has to say so.
func (f *Follower) holdFor(asked time.Duration) time.Duration {
	hold := min(syncHold, asked)
	if left := inTouch - f.since(&f.heard); left > 0 {
		hold = min(hold, left+time.Millisecond)
	}
	return hold
}

// awaitPlace keeps a question that reaches an instance shortly after its start
// until it is a hub, if it was one before: all others ask it at that moment.
func (f *Follower) awaitPlace(ctx context.Context) {
	f.whileStarting(ctx, f.wakeFeeds, func() bool {
		hub, taken := f.Picture().Hubs[f.Self.Zone]
		return !f.isHub.Load() && !f.leaving.Load() && (!taken || hub.ID == f.Self.ID)
	})
}

// versionOf names what the picture passes on by its content, so that all hubs that
// have read the same give it the same name: a follower that changes its hub gets
// nothing again. A large configuration is a multiple of all else between instances.
func (f *Follower) versionOf(p *Picture) string { return f.versions.of(p) }

func (f *Follower) answerSync(p *Picture, version string, count int) (*messenger.SyncResponse, error) {
	age := f.storeAge()
	out := &messenger.SyncResponse{
		Look:    age > inTouch && f.mayPoll(time.Now()),
		Version: version, StoreAgeMicroseconds: age.Microseconds(), Followers: int64(count), Generation: uint64(f.Generation()),
		Remembers: f.generations.sawReturn(),
	}
	if p == nil {
		return out, nil
	}
	var err error
	out.EntriesGzip, err = f.packed.of(p)
	return out, err
}

// packed keeps the compressed entries of the last version: all followers ask for
// the same ones at the same moment. Its zero value works.
type packed struct {
	mu      sync.Mutex
	version uint64
	entries []byte
}

func (c *packed) of(p *Picture) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries != nil && c.version == p.Version {
		return c.entries, nil
	}
	entries, err := pack(p.Relayed)
	if err != nil {
		return nil, err
	}
	c.version, c.entries = p.Version, entries
	return entries, nil
}

// noteInstances counts the fleet: one hub a zone, each with about as many
// followers as the next.
func (f *Follower) noteInstances(ofOneHub int) {
	f.instances.Store(int64(ofOneHub * max(1, len(f.Picture().Hubs))))
}

// pack compresses entries.
func pack(entries []hemlocktally.Entry) ([]byte, error) {
	all := &messenger.RelayedEntries{}
	for _, e := range entries {
		all.Entries = append(all.Entries, &messenger.RelayedEntry{Key: e.Key, Value: e.Value, Revision: uint64(e.Version), Generation: uint64(e.Generation)})
	}
	plain, err := proto.Marshal(all)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpack reads what pack wrote.
func unpack(packed []byte) ([]hemlocktally.DirectoryEntry, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxRelayed))
	if err != nil {
		return nil, err
	}
	var all messenger.RelayedEntries
	if err := proto.Unmarshal(plain, &all); err != nil {
		return nil, err
	}
	entries := make([]hemlocktally.DirectoryEntry, 0, len(all.GetEntries()))
	for _, e := range all.GetEntries() {
		entries = append(entries, hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{
			Key: e.GetKey(), Value: e.GetValue(), Version: hemlocktally.StoreVersion(e.GetRevision()),
			Generation: hemlocktally.StoreGeneration(e.GetGeneration()),
		}})
	}
	return entries, nil
}

// sync asks one hub for what is new. It reports whether the hub is in touch with
// the store, and whether it answered at all.
func (r *role) sync(ctx context.Context, hub Hub, hold time.Duration) (touch, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	out, err := r.hubClients.of(hub.PeerAddress, r.Follower).Sync(ctx, &messenger.SyncRequest{
		Instance: string(r.Self.ID), Version: r.held, Added: r.added[hub.ID], HoldMicroseconds: hold.Microseconds(),
		StoreAnswers: r.since(&r.served) <= servedLasts, Zone: string(r.Self.Zone), Weight: r.Self.Weight,
	})
	if err != nil || out.GetLeaving() {
		if err != nil && ctx.Err() == nil {
			r.Log.Log(logger.EventHubSilent, logger.Fields{"Hub": hub.ID, "Cause": err.Error()})
		}
		return false, false
	}
	if r.noteRelayed(out.GetGeneration()) != nil {
		// The hub has not noticed that the store came back from a copy. It would answer
		// again at once, since what it passes on is not taken.
		sleep(ctx, spread(seekPause))
		return false, true
	}
	touch = microseconds(out.GetStoreAgeMicroseconds()) <= inTouch
	if touch {
		r.mark(&r.followed)
	}
	r.noteInstances(int(out.GetFollowers()) + 1)
	r.mayPollNow = r.mayPollNow || out.GetLook()
	if out.GetTakeOver() {
		r.takeOver(ctx, hub)
		return touch, true
	}
	if len(out.GetEntriesGzip()) == 0 {
		return touch, true
	}
	entries, err := unpack(out.GetEntriesGzip())
	if err != nil {
		r.Log.Log(logger.EventHubSilent, logger.Fields{"Hub": hub.ID, "Cause": err.Error()})
		return false, false
	}
	r.take(ctx, entries, out.GetRemembers(), touch)
	if touch {
		r.held = out.GetVersion()
		clear(r.added)
	} else {
		r.held = ""
		r.added[hub.ID] = out.GetVersion()
	}
	return touch, true
}

// take hands the entries of a hub to the state. Those of a hub that is out of
// touch may add but not remove.
func (r *role) take(ctx context.Context, entries []hemlocktally.DirectoryEntry, held, touch bool) {
	byKind := map[hemlocktally.EntryKind][]hemlocktally.DirectoryEntry{hemlocktally.EntryDeclaration: nil, hemlocktally.EntryHub: nil}
	for _, entry := range entries {
		kind, _ := r.Interpreter.Kind(entry.Key)
		if kind == hemlocktally.EntryZoneStop {
			kind = hemlocktally.EntryDeclaration
		}
		byKind[kind] = append(byKind[kind], entry)
	}
	for _, kind := range []hemlocktally.EntryKind{hemlocktally.EntryDeclaration, hemlocktally.EntryHub} {
		if touch {
			send(ctx, r.inbox, SnapshotMsg{Kind: kind, Entries: byKind[kind], Generation: r.Generation(), Held: held})
		} else {
			send(ctx, r.inbox, ChangesMsg{Kind: kind, Entries: byKind[kind], Generation: r.Generation()})
		}
	}
}

// hubClients are the clients of hubs, by address. Its zero value works.
type hubClients struct {
	mu      sync.Mutex
	clients map[string]messenger.Relay
}

func (h *hubClients) of(address string, f *Follower) messenger.Relay {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.clients[address]; c != nil {
		return c
	}
	if h.clients == nil {
		h.clients = map[string]messenger.Relay{}
	}
	c := messenger.NewRelayProtobufClient("http://"+address, f.HTTP)
	h.clients[address] = c
	return c
}
