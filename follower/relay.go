package follower

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Limits of the relay between hubs and followers.
const (
	maxSyncWait     = 450 * time.Millisecond // maxSyncWait is how long a hub holds a Sync request when it has nothing new.
	syncTimeout     = maxSyncWait + 250*time.Millisecond
	startupWindow   = 400 * time.Millisecond // startupWindow is how long after its start an instance may still resume its previous role.
	maxRelayedBytes = 4 << 20                // maxRelayedBytes bounds the decompressed entries.
	// maxInstancesPerHub bounds the number of followers that another hub reports.
	maxInstancesPerHub = 1 << 16
)

// Sync answers a follower's request for updates. It implements messenger.Relay.
func (f *Follower) Sync(ctx context.Context, in *messenger.SyncRequest) (*messenger.SyncResponse, error) {
	out, err := f.syncEntries(ctx, in)
	if err == nil {
		out.Suspects = f.Suspects.Answer(in.GetSuspects())
	}
	return out, err
}

func (f *Follower) syncEntries(ctx context.Context, in *messenger.SyncRequest) (*messenger.SyncResponse, error) {
	f.awaitHubRole(ctx)
	f.awaitOperators(ctx)
	if !f.isHub.Load() || f.leaving.Load() {
		return &messenger.SyncResponse{Leaving: true}, nil
	}
	count := f.followers.note(in, time.Now())
	if in.GetWantsHelpers() {
		out, err := f.answerSync(nil, in.GetVersion(), count)
		if err == nil {
			out.Helpers = wireHelpers(f.followers.helpers(time.Now()))
		}
		return out, err
	}
	if f.shouldHandOver(in) {
		return &messenger.SyncResponse{TakeOver: true, Version: in.GetVersion(), StoreAgeMicroseconds: f.storeAge().Microseconds(), Followers: int64(count)}, nil
	}
	f.updateInstanceCount(count + 1)
	if in.GetStoreAnswers() && (f.disconnected() || f.storeCallsFail()) {
		f.noteFollowerServed()
	}
	return f.awaitUpdate(ctx, in, count)
}

// awaitUpdate answers as soon as there is something that the caller lacks, or when the
// wait is over.
func (f *Follower) awaitUpdate(ctx context.Context, in *messenger.SyncRequest, count int) (*messenger.SyncResponse, error) {
	hold := time.NewTimer(f.syncWait(messenger.Duration(in.GetHoldMicroseconds())))
	defer hold.Stop()
	for woken := false; ; woken = true {
		changed := f.published.wait()
		p := f.FleetState()
		if version := f.versionOf(p); p.RelayedVersion > 0 && f.isUpdate(version, in) {
			return f.answerSync(p, version, count)
		}
		// Only a waiting request is answered early: a request answered on arrival would be
		// repeated without a pause.
		if woken && !in.GetStoreAnswers() && f.disconnected() && f.since(&f.followerServedAt) < pollInterval {
			return f.answerSync(nil, in.GetVersion(), count)
		}
		if !in.GetStoreAnswers() && f.requestsPoll(time.Now()) {
			return f.answerPoll(in.GetVersion(), count)
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

// isUpdate reports whether the caller lacks the version. Followers add the entries of a
// disconnected hub to their own instead of replacing them, so these have a version of
// their own.
func (f *Follower) isUpdate(version string, in *messenger.SyncRequest) bool {
	return version != in.GetVersion() && (version != in.GetAdded() || !f.disconnected())
}

// syncWait is how long a request is held. A hub that becomes disconnected from the store
// meanwhile must report it in its answer.
func (f *Follower) syncWait(asked time.Duration) time.Duration {
	hold := min(maxSyncWait, asked)
	if left := maxStoreSilence - f.since(&f.storeAnsweredAt); left > 0 {
		hold = min(hold, left+time.Millisecond)
	}
	return hold
}

// awaitHubRole holds a request that arrives shortly after this instance's start until it
// is the hub again, if it was the hub before: all other instances ask it at that moment.
func (f *Follower) awaitHubRole(ctx context.Context) {
	f.waitDuringStartup(ctx, f.wakeFeeds, func() bool {
		hub, taken := f.FleetState().Hubs[f.Self.Zone]
		return !f.isHub.Load() && !f.leaving.Load() && (!taken || hub.ID == f.Self.ID)
	})
}

// awaitOperators holds a request that arrives shortly after this instance's start until the
// hub has read the operators' entries.
func (f *Follower) awaitOperators(ctx context.Context) {
	f.waitDuringStartup(ctx, f.published, func() bool {
		return f.isHub.Load() && !f.leaving.Load() && !f.operatorsRead(f.FleetState())
	})
}

// versionOf returns the content digest of the relayed entries. Hubs with the same entries
// return the same digest, so a follower that changes its hub receives nothing twice. A
// large configuration exceeds all other traffic between instances many times over.
func (f *Follower) versionOf(p *FleetState) string { return f.versions.of(p) }

// answerPoll answers without entries and lets the follower check whether the store answers it.
func (f *Follower) answerPoll(version string, count int) (*messenger.SyncResponse, error) {
	out, err := f.answerSync(nil, version, count)
	if err == nil {
		out.Look = true
	}
	return out, err
}

func (f *Follower) answerSync(p *FleetState, version string, count int) (*messenger.SyncResponse, error) {
	age := f.storeAge()
	out := &messenger.SyncResponse{
		Look:    age > maxStoreSilence && f.allowsPoll(time.Now()),
		Version: version, StoreAgeMicroseconds: age.Microseconds(), Followers: int64(count), Generation: uint64(f.Generation()),
		Remembers: f.generations.knewBeforeRestore(),
	}
	if p == nil {
		return out, nil
	}
	if f.operatorsRead(p) {
		out.OperatorsRevision = uint64(p.Operators.At.Version)
	}
	var err error
	out.EntriesGzip, err = f.compressed.of(p)
	return out, err
}

// compressedEntries caches the compressed entries of the last version, since all followers
// request them at the same moment. Its zero value works.
type compressedEntries struct {
	mu      sync.Mutex
	version uint64
	entries []byte
}

func (c *compressedEntries) of(p *FleetState) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries != nil && c.version == p.RelayedVersion {
		return c.entries, nil
	}
	entries, err := pack(p.Relayed)
	if err != nil {
		return nil, err
	}
	c.version, c.entries = p.RelayedVersion, entries
	return entries, nil
}

// updateInstanceCount estimates the size of the fleet: one hub per zone, each with about
// as many followers as this one.
func (f *Follower) updateInstanceCount(instancesPerHub int) {
	f.instances.Store(int64(min(maxInstancesPerHub, max(1, instancesPerHub)) * max(1, len(f.FleetState().Hubs))))
}

// pack serializes and compresses entries.
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

// errRelayedTooLarge says that entries exceed maxRelayedBytes. What was read of them must not
// be taken for all of them.
var errRelayedTooLarge = errors.New("the relayed entries are too large")

// unpack reverses pack. It fails for more than maxRelayedBytes of decompressed data.
func unpack(packed []byte) ([]hemlocktally.DirectoryEntry, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxRelayedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxRelayedBytes {
		return nil, errRelayedTooLarge
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

// requestSync sends one request to a hub, together with what this instance tells it and asks of it
// besides the entries.
func (r *role) requestSync(ctx context.Context, hub Hub, hold time.Duration) (*messenger.SyncResponse, error) {
	suspects, told := r.Suspects.Outgoing(hub.ID)
	isolated := r.isolated()
	wantsHelpers := isolated && r.helpers.outdated(time.Now())
	out, err := r.hubClients.of(hub.PeerAddress, r.Follower).Sync(ctx, &messenger.SyncRequest{
		Instance: string(r.Self.ID), Version: r.syncedVersion, Added: r.addedVersions[hub.ID], HoldMicroseconds: hold.Microseconds(),
		StoreAnswers: r.since(&r.cheapReadAnsweredAt) <= cheapReadValidity, Zone: string(r.Self.Zone), Weight: r.Self.Weight,
		Suspects: suspects, PeerAddress: r.Self.PeerAddress, Isolated: isolated, WantsHelpers: wantsHelpers,
	})
	if err != nil {
		return nil, err
	}
	r.Suspects.Incoming(hub.ID, out.GetSuspects(), told)
	if wantsHelpers {
		r.helpers.set(helpersOf(out.GetHelpers()), time.Now())
	}
	return out, nil
}

// sync asks one hub for updates. It reports whether the hub is connected to the store, and
// whether it answered at all.
func (r *role) sync(ctx context.Context, hub Hub, hold time.Duration) (connected, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	out, err := r.requestSync(ctx, hub, hold)
	if err != nil || out.GetLeaving() {
		if err != nil && ctx.Err() == nil {
			r.Log.Log(logger.EventHubUnresponsive, logger.Fields{"Hub": hub.ID, "Cause": err.Error()})
		}
		return false, false
	}
	if r.noteHubGeneration(out.GetGeneration()) != nil {
		// The hub has not noticed that the store was restored from a backup. Without a pause it
		// would answer again at once, because its entries are not applied.
		sleep(ctx, jitter(hubSearchPause))
		return false, true
	}
	connected = messenger.Duration(out.GetStoreAgeMicroseconds()) <= maxStoreSilence
	if connected {
		r.mark(&r.hubAnsweredAt)
	}
	r.updateInstanceCount(int(out.GetFollowers()) + 1)
	r.hubAllowsPoll = r.hubAllowsPoll || out.GetLook()
	if out.GetTakeOver() {
		r.takeOver(ctx, hub)
		return connected, true
	}
	if len(out.GetEntriesGzip()) == 0 {
		return connected, true
	}
	entries, err := unpack(out.GetEntriesGzip())
	if err != nil {
		r.Log.Log(logger.EventHubUnresponsive, logger.Fields{"Hub": hub.ID, "Cause": err.Error()})
		return false, false
	}
	r.applyRelayed(ctx, hub.ID, entries, out, connected)
	if connected {
		// The versions that other, disconnected hubs added are kept: they would send the same
		// entries again, and then this hub all of its own.
		r.syncedVersion = out.GetVersion()
		delete(r.addedVersions, hub.ID)
	} else {
		r.syncedVersion = ""
		r.addedVersions[hub.ID] = out.GetVersion()
	}
	return connected, true
}

// applyRelayed passes the entries of a hub to the state. A disconnected hub may add
// entries but not remove any.
func (r *role) applyRelayed(ctx context.Context, source hemlocktally.InstanceID, entries []hemlocktally.DirectoryEntry, from *messenger.SyncResponse, connected bool) {
	byKind := map[hemlocktally.EntryKind][]hemlocktally.DirectoryEntry{hemlocktally.EntryConfiguration: nil, hemlocktally.EntryHub: nil}
	for _, entry := range entries {
		kind, _ := r.Interpreter.Kind(entry.Key)
		kind = feedOf(kind)
		byKind[kind] = append(byKind[kind], entry)
	}
	for _, kind := range []hemlocktally.EntryKind{hemlocktally.EntryConfiguration, hemlocktally.EntryHub} {
		if !connected {
			send(ctx, r.inbox, ChangesMsg{Kind: kind, Entries: byKind[kind], Generation: r.Generation(), Source: source})
			continue
		}
		all := SnapshotMsg{Kind: kind, Entries: byKind[kind], Generation: r.Generation(), Reconciled: from.GetRemembers(), Source: source}
		if kind == hemlocktally.EntryConfiguration {
			all.Revision = from.GetOperatorsRevision()
		}
		send(ctx, r.inbox, all)
	}
}

// hubClients caches the clients of hubs by address. Its zero value works.
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
