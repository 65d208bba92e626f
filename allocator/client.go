package allocator

import (
	"context"
	"errors"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// Client acquires grants from the owners of services for the calls of one
// instance, the requester. It implements hemlocktally.Granter.
type Client struct {
	Self          hemlocktally.InstanceID
	Incarnation   string
	Zone          hemlocktally.ZoneName
	Configuration hemlocktally.ConfigurationSource
	Members       hemlocktally.ViewSource
	Server        *Server // Server is called directly if this instance is the owner.
	Peers         *Peers
	Grants        *GrantRegistry
	Fallback      hemlocktally.Granter // Fallback issues grants while neither owner nor stand-in responds.
}

// maxUnusableGrants limits how many unusable grants one request may get before
// it is refused.
const maxUnusableGrants = 3

// Acquire asks the owner for a grant, and decides without the owner if it does
// not respond. A grant that can't be used, because of the current configuration
// or the end of its lease, is returned and another target requested. The error is
// a *hemlocktally.RefusedError or that of the context.
func (c *Client) Acquire(ctx context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	for range maxUnusableGrants {
		grant, err := c.acquire(ctx, request)
		if err != nil {
			return grant, err
		}
		now := time.Now()
		c.Grants.add(grant, now)
		if c.usable(grant, now) {
			return grant, nil
		}
		c.Release(hemlocktally.GrantResult{Grant: grant, Contract: request.Contract, Outcome: hemlocktally.AttemptUnused})
		request.Exclude = append(slices.Clone(request.Exclude), grant.Target.Name)
	}
	return hemlocktally.Grant{}, refusal(hemlocktally.ReasonNoTarget, "no target that the owner granted can be used", time.Second)
}

// usable reports whether a grant may be used now: its lease, if any, has not
// ended, and its target is in service.
func (c *Client) usable(grant hemlocktally.Grant, now time.Time) bool {
	if !grant.LeaseEnd.IsZero() && !now.Before(grant.LeaseEnd) {
		return false
	}
	config := c.Configuration.Current()
	service, ok := config.Service(grant.Service)
	if !ok {
		return false
	}
	i := slices.IndexFunc(service.Targets, func(t hemlocktally.Target) bool { return t.Name == grant.Target.Name })
	if i < 0 {
		// The target is new if the owner has a newer configuration, and removed if it
		// has not.
		return grant.Revision > config.Revision
	}
	return !config.TargetOut(service.Targets[i])
}

func (c *Client) acquire(ctx context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	owners := OwnersOf(request.Service, c.Members.View().Serving())
	if len(owners) == 0 {
		return c.Fallback.Acquire(ctx, request)
	}
	if owners[0].ID == c.Self {
		return c.Server.AcquireLocal(ctx, c.Self, request)
	}
	ask := func() (hemlocktally.Grant, error) { return c.ask(ctx, owners[0], request, false) }
	if c.Peers.avoided(owners[0], time.Now()) {
		ask = func() (hemlocktally.Grant, error) { return c.askStandIn(ctx, owners, request) }
	}
	grant, err := ask()
	var unresponsive *unresponsiveError
	if !errors.As(err, &unresponsive) || ctx.Err() != nil {
		return grant, err
	}
	return c.Fallback.Acquire(ctx, request)
}

// askStandIn asks the stand-in instead of an owner that did not respond. If the
// stand-in reaches the owner, the owner is asked once more: two instances that
// count the grants of one service separately would load its targets twice.
func (c *Client) askStandIn(ctx context.Context, owners []hemlocktally.Instance, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	owner := owners[0]
	if len(owners) < 2 {
		return hemlocktally.Grant{}, &unresponsiveError{owner.ID}
	}
	standIn := owners[1]
	if standIn.ID == c.Self {
		if c.Peers.reachable(ctx, owner, time.Now()) {
			return c.ask(ctx, owner, request, false)
		}
		return c.Server.AcquireLocal(ctx, c.Self, request)
	}
	if c.Peers.avoided(standIn, time.Now()) {
		return hemlocktally.Grant{}, &unresponsiveError{standIn.ID}
	}
	grant, err := c.ask(ctx, standIn, request, true)
	var notOwner *notOwnerError
	if errors.As(err, &notOwner) {
		return c.ask(ctx, owner, request, false)
	}
	return grant, err
}

func (c *Client) ask(ctx context.Context, owner hemlocktally.Instance, request hemlocktally.GrantRequest, standIn bool) (hemlocktally.Grant, error) {
	sentAt := time.Now()
	in := c.encodeRequest(request)
	in.StandIn = standIn
	out, err := c.Peers.acquire(ctx, owner, in)
	if err != nil {
		return hemlocktally.Grant{}, err
	}
	if out.Refused == refusedNotOwner {
		return hemlocktally.Grant{}, &notOwnerError{owner.ID}
	}
	if out.Refused == string(hemlocktally.ReasonLeaving) {
		return hemlocktally.Grant{}, &unresponsiveError{owner.ID}
	}
	if out.Refused != "" {
		after := messenger.Duration(out.RetryAfterMicroseconds)
		return hemlocktally.Grant{}, refusal(hemlocktally.Reason(out.Refused), out.Detail, after)
	}
	return c.decodeGrant(out, request, sentAt), nil
}

func (c *Client) decodeGrant(out *messenger.AcquireResponse, request hemlocktally.GrantRequest, sentAt time.Time) hemlocktally.Grant {
	target := hemlocktally.Target{Name: hemlocktally.TargetName(out.Target), Address: out.Address}
	service, _ := c.Configuration.Current().Service(request.Service)
	for _, t := range service.Targets {
		if t.Name == target.Name && t.Address == target.Address {
			target = t
		}
	}
	grant := hemlocktally.Grant{
		ID: hemlocktally.GrantID(out.Grant), Service: request.Service, Target: target,
		Owner: hemlocktally.InstanceID(out.Owner), Revision: hemlocktally.Revision(out.Revision),
		Deadline: request.Deadline, Waited: messenger.Duration(out.WaitedMicroseconds), Cold: out.Cold,
	}
	if out.Cold {
		// The owner counts the lease from the request's arrival. Counting from when it
		// was sent is earlier, and so never extends the lease.
		grant.LeaseEnd = sentAt.Add(messenger.Duration(out.LeaseMicroseconds))
	}
	return grant
}

// Release returns a grant to the current owner of the service, and also to the
// owner that issued it if that is another member.
func (c *Client) Release(result hemlocktally.GrantResult) {
	c.Grants.remove(result.Grant.ID)
	if result.ReportedCold || result.ReportedDraining {
		c.Grants.forgetWarm(result.Grant.Service, result.Grant.Target.Name)
	}
	if result.Grant.Alone {
		c.Fallback.Release(result)
	}
	view := c.Members.View()
	current, _ := OwnerOf(result.Grant.Service, view.Serving())
	c.sendResult(current, result)
	if granter, ok := view.Find(result.Grant.Owner); ok && granter.ID != current.ID {
		c.sendResult(granter, result)
	}
}

func (c *Client) sendResult(owner hemlocktally.Instance, result hemlocktally.GrantResult) {
	switch owner.ID {
	case "":
	case c.Self:
		c.Server.ReleaseLocal(result.Grant.Service, resultMsg(result))
	default:
		c.Peers.report(owner, encodeResult(result))
	}
}

func resultMsg(r hemlocktally.GrantResult) ResultMsg {
	return ResultMsg{
		Grant: r.Grant.ID, Target: r.Grant.Target.Name, Outcome: r.Outcome, Latency: r.Latency,
		SaidCold: r.ReportedCold, SaidDraining: r.ReportedDraining,
	}
}

func encodeResult(r hemlocktally.GrantResult) *messenger.Result {
	return &messenger.Result{
		Grant: string(r.Grant.ID), Service: string(r.Grant.Service), Target: string(r.Grant.Target.Name),
		Outcome: int32(r.Outcome), LatencyMicroseconds: r.Latency.Microseconds(), SaidCold: r.ReportedCold,
		SaidDraining: r.ReportedDraining, Contract: string(r.Contract),
	}
}

func (c *Client) encodeRequest(r hemlocktally.GrantRequest) *messenger.AcquireRequest {
	out := &messenger.AcquireRequest{
		Call: string(r.Call), Service: string(r.Service), Zone: string(c.Zone), Contract: string(r.Contract),
		Priority: int32(r.Priority), Kind: int32(r.Kind), Instance: string(c.Self), Incarnation: c.Incarnation,
		DeadlineMicroseconds:   time.Until(r.Deadline).Microseconds(),
		QueueLimitMicroseconds: r.QueueLimit.Microseconds(),
	}
	for _, name := range r.Exclude {
		out.Exclude = append(out.Exclude, string(name))
	}
	return out
}
