package quarantiner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

const (
	// keptFor is how long the store keeps a request that is held back.
	keptFor = firstHold
	// keepTimeout limits the calls of the store for one request.
	keepTimeout  = 2 * time.Second
	minKeepPause = 2 * time.Second
	maxKeepPause = 30 * time.Second
	keeperInbox  = 64
)

// Keeper writes the requests that are held back to the store, so that they outlive all instances.
// The hubs write them; the first one succeeds. Its exported fields must be set before Run.
type Keeper struct {
	Directory hemlocktally.Directory
	Key       func(hemlocktally.Fingerprint) string // Key returns the key of a request's entry.
	IsHub     func() bool
	Log       logger.Logger

	inbox  chan any
	leases map[hemlocktally.Fingerprint]string // leases holds the leases of the entries that this instance wrote.
}

// Prepare initializes the keeper; it is called before any other method.
func (k *Keeper) Prepare() {
	k.inbox, k.leases = make(chan any, keeperInbox), map[hemlocktally.Fingerprint]string{}
}

// note passes a HoldCmd or a ReleaseCmd on. It never blocks: what finds no room is not kept.
func (k *Keeper) note(command any) {
	if k == nil {
		return
	}
	select {
	case k.inbox <- command:
	default:
	}
}

// Run writes and removes entries until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	pending := map[hemlocktally.Fingerprint]HoldCmd{}
	pause := minKeepPause
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case command := <-k.inbox:
			switch command := command.(type) {
			case HoldCmd:
				pending[command.Suspect.Request] = command
			case ReleaseCmd:
				delete(pending, command.Suspect.Request)
				k.remove(ctx, command.Suspect.Request)
			}
			pause = minKeepPause
		case <-timer.C:
		}
		if !k.writeAll(ctx, pending) {
			pause = min(2*pause, maxKeepPause)
		}
		if len(pending) > 0 {
			timer.Reset(pause)
		}
	}
}

// writeAll writes the pending entries and removes those that are written or need not be. It
// reports whether the store answered.
func (k *Keeper) writeAll(ctx context.Context, pending map[hemlocktally.Fingerprint]HoldCmd) bool {
	for request, command := range pending {
		if !k.IsHub() || time.Now().After(command.Until) {
			delete(pending, request)
			continue
		}
		if err := k.write(ctx, command.Suspect); err != nil {
			k.Log.Log(logger.EventHeldRequestNotKept, logger.Fields{"Request": request, "Cause": err.Error()})
			return false
		}
		delete(pending, request)
	}
	return true
}

func (k *Keeper) write(ctx context.Context, suspect hemlocktally.Suspect) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	value, err := json.Marshal(newKeptRequest(suspect))
	if err != nil {
		return err
	}
	lease, err := k.Directory.Grant(ctx, keptFor)
	if err != nil {
		return err
	}
	_, err = k.Directory.CompareAndSwap(ctx, hemlocktally.Entry{Key: k.Key(suspect.Request), Value: value, Lease: lease.ID})
	var conflict *hemlocktally.ConflictError
	switch {
	case errors.As(err, &conflict):
		return k.Directory.Revoke(ctx, lease.ID) // Another hub has written it.
	case err != nil:
		return errors.Join(err, k.Directory.Revoke(ctx, lease.ID))
	}
	k.leases[suspect.Request] = lease.ID
	return nil
}

func (k *Keeper) remove(ctx context.Context, request hemlocktally.Fingerprint) {
	lease, ok := k.leases[request]
	if !ok {
		return
	}
	delete(k.leases, request)
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := k.Directory.Revoke(ctx, lease); err != nil {
		k.Log.Log(logger.EventHeldRequestNotKept, logger.Fields{"Request": request, "Cause": "removing the entry: " + err.Error()})
	}
}

// keptRequest is the value of an entry of the store.
type keptRequest struct {
	Request hemlocktally.Fingerprint
	Service hemlocktally.ServiceName
	Crashes []keptCrash
}

type keptCrash struct {
	Target      hemlocktally.TargetName
	Started     int64
	AtUnixMilli int64
	ReportedBy  hemlocktally.InstanceID
}

func newKeptRequest(suspect hemlocktally.Suspect) keptRequest {
	kept := keptRequest{Request: suspect.Request, Service: suspect.Service}
	for _, c := range suspect.Crashes {
		kept.Crashes = append(kept.Crashes, keptCrash{Target: c.Target, Started: c.Started, AtUnixMilli: c.At.UnixMilli(), ReportedBy: c.ReportedBy})
	}
	return kept
}

// Restore merges an entry of the store that a Keeper wrote. Clocks of instances differ: if the last
// crash lies in the future, all are moved back by as much.
func (q *Quarantiner) Restore(value []byte) error {
	if q == nil {
		return nil
	}
	var kept keptRequest
	if err := json.Unmarshal(value, &kept); err != nil {
		return err
	}
	now := time.Now()
	suspect := hemlocktally.Suspect{Request: kept.Request, Service: kept.Service}
	crashes := kept.Crashes[:min(len(kept.Crashes), maxCrashes)]
	ahead := time.Duration(0)
	for _, c := range crashes {
		ahead = max(ahead, time.UnixMilli(c.AtUnixMilli).Sub(now))
	}
	for _, c := range crashes {
		age := min(max(0, now.Sub(time.UnixMilli(c.AtUnixMilli))+ahead), maxHold)
		suspect.Crashes = append(suspect.Crashes, hemlocktally.TargetCrash{Target: c.Target, Started: c.Started, At: now.Add(-age), ReportedBy: c.ReportedBy})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(SuspectsMsg{Suspects: []hemlocktally.Suspect{suspect}}, fromStore)
	return nil
}

// fromStore is the source of what was restored from the store.
const fromStore = "store"
