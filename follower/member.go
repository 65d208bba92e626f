package follower

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

const (
	memberTTL     = 4 * time.Second // memberTTL is how long a silent instance stays a member.
	renewInterval = 1300 * time.Millisecond
	revokeTimeout = 300 * time.Millisecond
)

// view returns the members ordered by ID.
func (p *Picture) view(self hemlocktally.InstanceID, own Member, leaving bool) hemlocktally.View {
	var view hemlocktally.View
	for id, member := range p.Members {
		if id != self {
			view.Members = append(view.Members, instanceOf(id, member))
		}
	}
	if !leaving {
		view.Members = append(view.Members, instanceOf(self, own))
	}
	slices.SortFunc(view.Members, func(a, b hemlocktally.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return view
}

func instanceOf(id hemlocktally.InstanceID, member Member) hemlocktally.Instance {
	return hemlocktally.Instance{
		ID: id, Incarnation: member.Incarnation, Zone: member.Zone, PeerAddress: member.PeerAddress,
		Weight: member.Weight, State: hemlocktally.InstanceServing,
	}
}

// keepRegistered keeps the instance's own key in the directory until the
// instance leaves or the context ends.
func (f *Follower) keepRegistered(ctx context.Context, _ chan<- any) {
	var lease string
	for ctx.Err() == nil && !f.leaving.Load() {
		var err error
		if lease == "" {
			lease, err = f.register(ctx)
		} else {
			err = f.renew(ctx, lease)
		}
		f.noteRegistration(err)
		var absent *hemlocktally.AbsentError
		pause := renewInterval
		switch {
		case errors.As(err, &absent):
			lease, pause = "", 0
		case err != nil:
			pause = renewInterval / 2
		}
		f.pauseUnlessLeaving(ctx, pause)
	}
	if lease != "" {
		f.revoke(ctx, lease)
	}
	<-ctx.Done()
}

// noteRegistration logs the first failure of a row.
func (f *Follower) noteRegistration(err error) {
	if err != nil && !f.unregistered {
		f.Log.Log(logger.EventRegistrationFailed, logger.Fields{"Instance": f.Self, "Cause": err.Error()})
	}
	f.unregistered = err != nil
}

func (f *Follower) pauseUnlessLeaving(ctx context.Context, pause time.Duration) {
	for end := time.Now().Add(pause); time.Now().Before(end) && !f.leaving.Load() && ctx.Err() == nil; {
		sleep(ctx, min(needInterval, time.Until(end)))
	}
}

// register writes the instance's key under a new lease.
func (f *Follower) register(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := f.Directory.Grant(ctx, memberTTL)
	if err != nil {
		return "", err
	}
	value, err := json.Marshal(f.Member)
	if err != nil {
		return "", err
	}
	entry := hemlocktally.Entry{Key: f.Interpreter.MemberPrefix() + string(f.Self), Value: value, Lease: lease.ID}
	_, err = f.Directory.Swap(ctx, entry)
	var conflict *hemlocktally.ConflictError
	if errors.As(err, &conflict) {
		// The key of an earlier life has not lapsed yet.
		entry.Version = conflict.Present.Version
		_, err = f.Directory.Swap(ctx, entry)
	}
	if err != nil {
		return "", err
	}
	f.Log.Log(logger.EventRegistered, logger.Fields{"Instance": f.Self, "Incarnation": f.Member.Incarnation, "Lease": lease.ID})
	return lease.ID, nil
}

func (f *Follower) renew(ctx context.Context, lease string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.Directory.Renew(ctx, lease)
}

// revoke ends the lease, so that the others need not wait for its end.
func (f *Follower) revoke(ctx context.Context, lease string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := f.Directory.Revoke(ctx, lease); err != nil {
		f.Log.Log(logger.EventStoreDown, logger.Fields{"Store": "lease " + lease, "Cause": err.Error()})
	}
}
