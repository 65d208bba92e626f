package allocator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// Client asks the owner of a service for turns on behalf of one entry. It
// implements hemlocktally.Granter.
type Client struct {
	Self          hemlocktally.InstanceID
	Zone          hemlocktally.ZoneName
	Configuration hemlocktally.Configurer
	Members       hemlocktally.Viewer
	Server        *Server              // Server is asked directly where this instance is the owner.
	HTTP          *http.Client         // HTTP reaches the peers.
	Alone         hemlocktally.Granter // Alone decides while no owner answers.

	mu    sync.Mutex
	peers map[string]messenger.Allocation
}

// ownerAnswerBound is how long an owner may take beyond the queue limit.
const ownerAnswerBound = 250 * time.Millisecond

// Acquire asks the owner, and goes on alone where it does not answer.
func (c *Client) Acquire(ctx context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	owner, ok := OwnerOf(request.Service, c.Members.View().Serving())
	if !ok {
		return c.Alone.Acquire(ctx, request)
	}
	if owner.ID == c.Self {
		return c.Server.AcquireHere(ctx, c.Self, request)
	}
	grant, err := c.ask(ctx, owner, request)
	if err == nil || isRefusal(err) || ctx.Err() != nil {
		return grant, err
	}
	return c.Alone.Acquire(ctx, request)
}

func (c *Client) ask(ctx context.Context, owner hemlocktally.Instance, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, request.QueueLimit+ownerAnswerBound)
	defer cancel()
	out, err := c.peer(owner).Acquire(ctx, wireRequest(c.Self, c.Zone, request))
	if err != nil {
		return hemlocktally.Grant{}, err
	}
	if out.Refused != "" {
		return hemlocktally.Grant{}, &hemlocktally.RefusedError{
			Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.Reason(out.Refused), Detail: out.Detail,
			RetryAfter: time.Duration(out.RetryAfterMicroseconds) * time.Microsecond,
		}
	}
	return c.grantOf(out, request), nil
}

func (c *Client) grantOf(out *messenger.AcquireResponse, request hemlocktally.GrantRequest) hemlocktally.Grant {
	target := hemlocktally.Target{Name: hemlocktally.TargetName(out.Target), Address: out.Address}
	service, _ := c.Configuration.Current().Service(request.Service)
	for _, t := range service.Targets {
		if t.Name == target.Name && t.Address == target.Address {
			target = t
		}
	}
	return hemlocktally.Grant{
		ID: hemlocktally.GrantID(out.Grant), Service: request.Service, Target: target,
		Owner: hemlocktally.InstanceID(out.Owner), Revision: hemlocktally.Revision(out.Revision),
		Deadline: request.Deadline, Waited: time.Duration(out.WaitedMicroseconds) * time.Microsecond, Cold: out.Cold,
	}
}

// Release gives a turn back to the owner that granted it.
func (c *Client) Release(result hemlocktally.GrantResult) {
	switch {
	case result.Grant.Alone:
		c.Alone.Release(result)
	case result.Grant.Owner == c.Self:
		c.Server.ReleaseHere(result.Grant.Service, resultMsg(result))
	default:
		owner, ok := c.Members.View().Find(result.Grant.Owner)
		if ok {
			go c.report(owner, result)
		}
	}
}

func (c *Client) report(owner hemlocktally.Instance, result hemlocktally.GrantResult) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = c.peer(owner).Report(ctx, &messenger.ReportRequest{
		Instance: string(c.Self), Service: string(result.Grant.Service),
		Results: []*messenger.Result{wireResult(result)},
	})
}

func (c *Client) peer(owner hemlocktally.Instance) messenger.Allocation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[owner.PeerAddress]; ok {
		return p
	}
	p := messenger.NewAllocationProtobufClient("http://"+owner.PeerAddress, c.HTTP)
	if c.peers == nil {
		c.peers = map[string]messenger.Allocation{}
	}
	c.peers[owner.PeerAddress] = p
	return p
}

func resultMsg(r hemlocktally.GrantResult) ResultMsg {
	return ResultMsg{
		Grant: r.Grant.ID, Target: r.Grant.Target.Name, Outcome: r.Outcome, Latency: r.Latency,
		SaidCold: r.SaidCold, SaidDraining: r.SaidDraining,
	}
}

func wireResult(r hemlocktally.GrantResult) *messenger.Result {
	return &messenger.Result{
		Grant: string(r.Grant.ID), Target: string(r.Grant.Target.Name), Outcome: int32(r.Outcome),
		LatencyMicroseconds: r.Latency.Microseconds(), SaidCold: r.SaidCold, SaidDraining: r.SaidDraining,
		Contract: string(r.Contract),
	}
}

func wireRequest(self hemlocktally.InstanceID, zone hemlocktally.ZoneName, r hemlocktally.GrantRequest) *messenger.AcquireRequest {
	out := &messenger.AcquireRequest{
		Call: string(r.Call), Service: string(r.Service), Zone: string(zone), Contract: string(r.Contract),
		Priority: int32(r.Priority), Kind: int32(r.Kind), Instance: string(self),
		DeadlineMicroseconds:   time.Until(r.Deadline).Microseconds(),
		QueueLimitMicroseconds: r.QueueLimit.Microseconds(),
	}
	for _, name := range r.Exclude {
		out.Exclude = append(out.Exclude, string(name))
	}
	return out
}

func isRefusal(err error) bool {
	_, ok := err.(*hemlocktally.RefusedError) //nolint:errorlint // The client returns refusals unwrapped.
	return ok
}
