package placer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/limiter"
	"hemlocktally/logger"
	"hemlocktally/messenger"
	"hemlocktally/monitor"
	"hemlocktally/quarantiner"
)

// Timeouts and limits of requests to other instances.
const (
	// ownerTimeout limits one request to an owner, including the time for which the owner
	// holds it.
	ownerTimeout   = 80 * time.Millisecond
	releaseTimeout = 150 * time.Millisecond
	// minAvoidance is how long an owner that did not answer is skipped. It doubles with each
	// further failure.
	minAvoidance = 150 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// unableAvoidance is how long an owner that answered that it can't decide is skipped. By
	// then it should have read the list of targets.
	unableAvoidance = 60 * time.Millisecond
	// isolatedAvoidance is how long an owner that reaches no targets is skipped.
	isolatedAvoidance = 300 * time.Millisecond
	// aloneTargetsWait is how long an instance that decides alone waits for the list of
	// targets.
	aloneTargetsWait  = 60 * time.Millisecond
	alonePollInterval = 5 * time.Millisecond
	// maxOwners is how many owners are tried, in order of rank, before the instance decides
	// alone.
	maxOwners = 2
)

// Client acquires and releases grants on behalf of one instance. It implements
// hemlocktally.Granter.
type Client struct {
	Self   hemlocktally.InstanceID
	Zone   hemlocktally.ZoneName
	Epoch  string
	View   hemlocktally.ViewSource
	Server *Server // Server decides for the services that this instance owns.
	Alone  *Server // Alone decides when no owner answers.
	HTTP   *http.Client
	Log    logger.Logger
	// RequestTargets requests the list of targets, which an instance that decides alone may not
	// have. It may be nil.
	RequestTargets func()
	Monitor        *monitor.Monitor         // Monitor learns of the targets in use; it may be nil.
	Suspects       *quarantiner.Quarantiner // Suspects exchanges what is known of requests that crash targets; it may be nil.
	Quotas         *limiter.Alone           // Quotas counts the customers' calls that this instance sends; it may be nil.
	Disabled       hemlocktally.Mechanisms  // Disabled holds the mechanisms that are disabled.

	avoidList avoidList
	limits    limitList
	tickets   atomic.Uint64
	mu        sync.Mutex
	peers     map[string]*peer // peers is keyed by address.
	// limitsExchanged is what each server was told of the limits of a service's targets, and told
	// this instance.
	limitsExchanged map[limitsKey]limitsExchange
}

// peer is the connection state of another instance.
type peer struct {
	client     messenger.Placement
	avoidUntil time.Time
	avoidance  time.Duration
	// isolatedUntil holds until when the instance is skipped as the owner of services whose
	// targets it does not reach.
	isolatedUntil map[hemlocktally.ServiceName]time.Time
}

// errIsolated means that the owner reaches hardly any target of the service.
var errIsolated = errors.New("the owner reaches hardly any target")

// errUnable means that the owner is leaving or knows no targets.
var errUnable = errors.New("the owner is leaving or knows no targets")

// Acquire returns a grant. It returns a *hemlocktally.RefusedError if the request is refused,
// or the cause of the context if that ends first.
func (c *Client) Acquire(ctx context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	if request.Objective.IsZero() {
		request.Objective = request.Deadline
	}
	msg := AcquireMsg{Ticket: c.nextTicket(), From: c.Self, Zone: c.Zone, Request: request, Sent: c.sent(request)}
	started := time.Now()
	for returned := 0; ; {
		answer := c.acquire(ctx, msg)
		switch answer := answer.(type) {
		case GrantCmd:
			if c.returnIfAvoided(answer.Grant) || c.returnIfUncounted(answer.Grant) {
				if returned++; returned > maxReturnedGrants {
					return hemlocktally.Grant{}, notRunError(hemlocktally.ReasonNoTarget, "all offered targets are leaving or told this instance to stay away", minRetryAfter)
				}
				// The target of a hedged attempt must stay last in the list.
				msg.Request.Exclude = slices.Insert(slices.Clone(msg.Request.Exclude), 0, answer.Grant.Target.Name)
				msg.Ticket = c.nextTicket()
				break
			}
			c.noteGranted(request, answer.Grant)
			if answer.Grant.Limit.Named {
				c.limits.granted.Add(1)
			}
			c.Monitor.Note(request.Service, answer.Grant.Target)
			c.Log.Log(logger.EventTargetGranted, logger.Fields{
				"Call": request.Call, "Service": request.Service, "Target": answer.Grant.Target.Name, "Owner": answer.Grant.Owner,
				"Alone": answer.Grant.Alone, "Cold": answer.Grant.Cold, "Limit": answer.Grant.Limit.String(), "Expected": answer.Rationale.Expected, "Pace": answer.Rationale.Pace,
				"Age": answer.Rationale.Age, "Waited": time.Since(started),
			})
			return answer.Grant, nil
		case RefuseCmd:
			return hemlocktally.Grant{}, answer.Error
		}
		if ctx.Err() != nil {
			return hemlocktally.Grant{}, context.Cause(ctx)
		}
	}
}

func (c *Client) nextTicket() string {
	return string(c.Self) + "/" + c.Epoch + "/" + strconv.FormatUint(c.tickets.Add(1), 10)
}

// returnIfAvoided returns the grant to its owner, with the reason, if its target told this
// instance that it is leaving or to stay away. It reports whether it did.
func (c *Client) returnIfAvoided(grant hemlocktally.Grant) bool {
	now := time.Now()
	avoided, ok := c.avoidList.find(grant.Target, now)
	if !ok {
		return false
	}
	result := hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptUnused, ReportedDraining: avoided.leaving}
	if !avoided.leaving {
		result.RetryAfter = avoided.until.Sub(now)
	}
	c.release(result)
	return true
}

// acquire asks the owners in order of rank, and decides alone if none of them answers.
func (c *Client) acquire(ctx context.Context, msg AcquireMsg) any {
	now := time.Now()
	tried := 0
	for _, owner := range c.owners(msg.Request.Service) {
		if owner.ID == c.Self {
			if c.Server.CanDecide(msg.Request.Service) && !c.Server.isolated(msg.Request.Service) {
				return c.acquireLocal(ctx, c.Server, string(c.Self), msg)
			}
			continue
		}
		if tried >= maxOwners && c.Alone.CanDecide(msg.Request.Service) {
			// The instance can decide alone, and asking more owners would only delay the call.
			break
		}
		p := c.peer(owner.PeerAddress)
		if c.peerAvoided(p, msg.Request.Service, now) {
			continue
		}
		answer, err := c.acquireRemote(ctx, p, owner, msg)
		if err == nil || ctx.Err() != nil {
			return answer
		}
		if !errors.Is(err, errIsolated) { // An isolated owner answers at once, and knows nothing of the next one.
			tried++
		}
		c.Log.Log(logger.EventOwnerUnresponsive, logger.Fields{"Owner": owner.ID, "Cause": err.Error()})
	}
	c.awaitTargets(ctx, msg.Request.Service)
	return c.acquireLocal(ctx, c.Alone, aloneServer, msg)
}

// acquireLocal asks one of the instance's own servers.
func (c *Client) acquireLocal(ctx context.Context, server *Server, name string, msg AcquireMsg) any {
	msg, heard := c.exchangeLimits(name, msg)
	answer := server.Acquire(ctx, msg)
	switch answer := answer.(type) {
	case GrantCmd:
		heard(answer.News)
	case RefuseCmd:
		heard(answer.News)
		if server != c.Alone {
			c.noteRefused(msg.Request, answer.Error.Reason)
		}
	case PendingCmd:
		heard(answer.News)
	}
	return answer
}

// owners returns the instances that may own the service, in order of rank.
func (c *Client) owners(service hemlocktally.ServiceName) []hemlocktally.Instance {
	if c.Disabled.Has(hemlocktally.MechanismOwners) {
		return nil
	}
	return Ranked(service, c.View.View().Serving())
}

// awaitTargets requests the list of targets and waits up to aloneTargetsWait for it.
func (c *Client) awaitTargets(ctx context.Context, service hemlocktally.ServiceName) {
	if c.RequestTargets == nil {
		return
	}
	c.RequestTargets()
	c.Alone.pollCanDecide(ctx, service, aloneTargetsWait, alonePollInterval)
}

func (c *Client) acquireRemote(ctx context.Context, p *peer, owner hemlocktally.Instance, msg AcquireMsg) (any, error) {
	msg, heard := c.exchangeLimits(string(owner.ID), msg)
	sentAt := time.Now()
	requestCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	in := newPlaceRequest(msg, sentAt)
	suspects, version := c.Suspects.Outgoing(owner.ID)
	in.Suspects = suspects
	out, err := p.client.Place(requestCtx, in)
	if err == nil {
		c.Suspects.Incoming(owner.ID, out.GetSuspects(), version)
	}
	switch {
	case err == nil && out.GetIsolated():
		err = errIsolated
	case err == nil && out.GetUnable():
		err = errUnable
	}
	if ctx.Err() != nil {
		return RefuseCmd{Ticket: msg.Ticket, Error: notRunError(hemlocktally.ReasonCallerCancelled, "the caller disconnected before a target was available", 0)}, err
	}
	c.recordAnswer(p, msg.Request.Service, err)
	if err != nil {
		return nil, err
	}
	heard(limitNews(out))
	switch {
	case out.GetGrant() != "":
		return GrantCmd{Ticket: msg.Ticket, Grant: grantFromResponse(out, msg, owner.ID, sentAt)}, nil
	case out.GetRefused() != "":
		c.noteRefused(msg.Request, hemlocktally.Reason(out.GetRefused()))
		return RefuseCmd{Ticket: msg.Ticket, Error: notRunError(
			hemlocktally.Reason(out.GetRefused()), out.GetDetail(), messenger.Duration(out.GetRetryAfterMicroseconds()),
		)}, nil
	default:
		return PendingCmd{Ticket: msg.Ticket}, nil
	}
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		return p
	}
	if c.peers == nil {
		c.peers = map[string]*peer{}
	}
	p := &peer{client: messenger.NewPlacementProtobufClient("http://"+address, c.HTTP)}
	c.peers[address] = p
	return p
}

func (c *Client) peerAvoided(p *peer, service hemlocktally.ServiceName, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(p.avoidUntil) || now.Before(p.isolatedUntil[service])
}

// recordAnswer sets for how long a peer is skipped after a failed request.
func (c *Client) recordAnswer(p *peer, service hemlocktally.ServiceName, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		p.avoidance = 0
		return
	}
	switch {
	case errors.Is(err, errUnable):
		p.avoidUntil = time.Now().Add(unableAvoidance)
		return
	case errors.Is(err, errIsolated):
		if p.isolatedUntil == nil {
			p.isolatedUntil = map[hemlocktally.ServiceName]time.Time{}
		}
		p.isolatedUntil[service] = time.Now().Add(isolatedAvoidance)
		return
	}
	p.avoidance = min(maxAvoidance, max(minAvoidance, 2*p.avoidance))
	p.avoidUntil = time.Now().Add(p.avoidance)
}

// Release returns a grant to the server that issued it. It records whether its target is
// leaving, told the instance to stay away or named a limit.
func (c *Client) Release(result hemlocktally.GrantResult) {
	if result.Limit != nil {
		c.recordLimit(result.Grant.Service, targetLimit(result.Grant.Target, *result.Limit), "")
	}
	if c.avoidList.record(result, time.Now()) {
		c.Log.Log(logger.EventTargetLeaving, logger.Fields{
			"Service": result.Grant.Service, "Target": result.Grant.Target.Name, "Address": result.Grant.Target.Address,
		})
	}
	c.release(result)
}

func (c *Client) release(result hemlocktally.GrantResult) {
	switch {
	case result.Grant.Alone:
		c.Alone.Release(result)
	case result.Grant.Owner == c.Self:
		c.Server.Release(result)
	default:
		if owner, ok := c.View.View().Find(result.Grant.Owner); ok {
			go c.releaseRemote(c.peer(owner.PeerAddress), result)
		}
	}
}

// releaseRemote returns a grant to its owner. If that fails, the owner expires the grant after
// its deadline.
func (c *Client) releaseRemote(p *peer, result hemlocktally.GrantResult) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := p.client.EndTurn(ctx, newEndTurnRequest(result)); err != nil {
		c.Log.Log(logger.EventOwnerUnresponsive, logger.Fields{"Owner": result.Grant.Owner, "Cause": err.Error()})
	}
}
