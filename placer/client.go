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
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Bounds of the questions to other instances.
const (
	firstAsk    = 80 * time.Millisecond // firstAsk bounds one question to an owner, the time for which it is held included.
	endTimeout  = 150 * time.Millisecond
	avoidFirst  = 150 * time.Millisecond // avoidFirst is how long an owner that did not answer is not asked; each further silence doubles it.
	avoidMost   = 4 * time.Second
	avoidUnable = 60 * time.Millisecond // avoidUnable is that time for one that answers that it can't decide: it reads the list of targets by then.
	aloneWait   = 60 * time.Millisecond // aloneWait is how long an instance that decides alone waits for the list of targets.
	aloneLook   = 5 * time.Millisecond
	ownersAsked = 2 // ownersAsked is how many owners in line are asked before the instance decides alone.
)

// Client asks for turns on behalf of one instance. It implements
// hemlocktally.Granter.
type Client struct {
	Self   hemlocktally.InstanceID
	Zone   hemlocktally.ZoneName
	Epoch  string
	View   hemlocktally.Viewer
	Server *Server // Server decides for the services that this instance owns.
	Alone  *Server // Alone decides while no owner answers.
	HTTP   *http.Client
	Log    logger.Logger
	// NeedTargets asks for the list of targets, which an instance that decides
	// alone may not have; it may be nil.
	NeedTargets func()
	Off         hemlocktally.Mechanisms // Off are the mechanisms that are left off.

	shunner shunner
	asked   atomic.Uint64
	mu      sync.Mutex
	peers   map[string]*peer // peers are keyed by address.
}

// peer is one other instance.
type peer struct {
	client  messenger.Placement
	avoid   time.Time
	silence time.Duration
}

// errUnable says that the owner is leaving or knows no targets.
var errUnable = errors.New("the owner can't decide")

// Acquire returns a turn, or a *hemlocktally.RefusedError.
func (c *Client) Acquire(ctx context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	if request.Objective.IsZero() {
		request.Objective = request.Deadline
	}
	ask := AskMsg{Ticket: c.nextTicket(), From: c.Self, Zone: c.Zone, Request: request}
	started := time.Now()
	for given := 0; ; {
		answer := c.ask(ctx, ask)
		switch answer := answer.(type) {
		case GrantCmd:
			if c.giveBack(answer.Grant) {
				if given++; given > shunnedTurns {
					return hemlocktally.Grant{}, notRun(hemlocktally.ReasonNoTarget, "only targets that leave or want nothing of this instance are offered", leastAdvice)
				}
				// The target of a first attempt stands last in the list.
				ask.Request.Exclude = slices.Insert(slices.Clone(ask.Request.Exclude), 0, answer.Grant.Target.Name)
				ask.Ticket = c.nextTicket()
				break
			}
			c.Log.Log(logger.EventTurn, logger.Fields{
				"Call": request.Call, "Service": request.Service, "Target": answer.Grant.Target.Name, "Owner": answer.Grant.Owner,
				"Alone": answer.Grant.Alone, "Cold": answer.Grant.Cold, "Expected": answer.Why.Expected, "Pace": answer.Why.Pace,
				"Age": answer.Why.Age, "Waited": time.Since(started),
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
	return string(c.Self) + "/" + c.Epoch + "/" + strconv.FormatUint(c.asked.Add(1), 10)
}

// giveBack gives a turn back whose target wants nothing of this instance, and
// tells its owner why.
func (c *Client) giveBack(grant hemlocktally.Grant) bool {
	now := time.Now()
	known, ok := c.shunner.shuns(grant.Target, now)
	if !ok {
		return false
	}
	result := hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptUnused, SaidDraining: known.leaving}
	if !known.leaving {
		result.StayAway = known.until.Sub(now)
	}
	c.end(result)
	return true
}

// ask asks the owner in line, and decides alone where none answers.
func (c *Client) ask(ctx context.Context, ask AskMsg) any {
	now := time.Now()
	tried := 0
	for _, owner := range c.owners(ask.Request.Service) {
		if owner.ID == c.Self {
			if c.Server.Able(ask.Request.Service) {
				return c.Server.Ask(ctx, ask)
			}
			continue
		}
		if tried >= ownersAsked && c.Alone.Able(ask.Request.Service) {
			break // It can decide alone; asking on would only cost the caller time.
		}
		p := c.peer(owner.PeerAddress)
		if c.avoided(p, now) {
			continue
		}
		tried++
		answer, err := c.askPeer(ctx, p, owner.ID, ask)
		if err == nil || ctx.Err() != nil {
			return answer
		}
		c.Log.Log(logger.EventOwnerSilent, logger.Fields{"Owner": owner.ID, "Cause": err.Error()})
	}
	c.awaitTargets(ctx, ask.Request.Service)
	return c.Alone.Ask(ctx, ask)
}

// owners ranks the instances that may own the service.
func (c *Client) owners(service hemlocktally.ServiceName) []hemlocktally.Instance {
	if c.Off.Has(hemlocktally.MechanismOwners) {
		return nil
	}
	return Ranked(service, c.View.View().Serving())
}

// awaitTargets waits a moment until the instance knows targets itself.
func (c *Client) awaitTargets(ctx context.Context, service hemlocktally.ServiceName) {
	if c.NeedTargets == nil {
		return
	}
	c.NeedTargets()
	c.Alone.awaitAble(ctx, service, aloneWait, aloneLook)
}

func (c *Client) askPeer(ctx context.Context, p *peer, owner hemlocktally.InstanceID, ask AskMsg) (any, error) {
	asked := time.Now()
	bounded, cancel := context.WithTimeout(ctx, firstAsk)
	defer cancel()
	out, err := p.client.Place(bounded, placeRequest(ask, asked))
	if err == nil && out.GetUnable() {
		err = errUnable
	}
	if ctx.Err() != nil {
		return RefuseCmd{Ticket: ask.Ticket, Error: notRun(hemlocktally.ReasonCallerCancelled, "the caller went away before a target was free", 0)}, err
	}
	c.noteAnswer(p, err)
	switch {
	case err != nil:
		return nil, err
	case out.GetGrant() != "":
		return GrantCmd{Ticket: ask.Ticket, Grant: grantOf(out, ask, owner, asked)}, nil
	case out.GetRefused() != "":
		return RefuseCmd{Ticket: ask.Ticket, Error: notRun(
			hemlocktally.Reason(out.GetRefused()), out.GetDetail(), microseconds(out.GetRetryAfterMicroseconds()),
		)}, nil
	default:
		return HoldCmd{Ticket: ask.Ticket}, nil
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

func (c *Client) avoided(p *peer, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(p.avoid)
}

// noteAnswer keeps a peer from being asked for a while after it was silent.
func (c *Client) noteAnswer(p *peer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		p.silence = 0
		return
	}
	if errors.Is(err, errUnable) {
		p.avoid = time.Now().Add(avoidUnable)
		return
	}
	p.silence = min(avoidMost, max(avoidFirst, 2*p.silence))
	p.avoid = time.Now().Add(p.silence)
}

// Release gives a turn back to whoever granted it, with what its target told.
func (c *Client) Release(result hemlocktally.GrantResult) {
	if c.shunner.note(result, time.Now()) {
		c.Log.Log(logger.EventTargetLeaving, logger.Fields{
			"Service": result.Grant.Service, "Target": result.Grant.Target.Name, "Address": result.Grant.Target.Address,
		})
	}
	c.end(result)
}

func (c *Client) end(result hemlocktally.GrantResult) {
	switch {
	case result.Grant.Alone:
		c.Alone.End(result)
	case result.Grant.Owner == c.Self:
		c.Server.End(result)
	default:
		if owner, ok := c.View.View().Find(result.Grant.Owner); ok {
			go c.endTurn(c.peer(owner.PeerAddress), result)
		}
	}
}

// endTurn tells the owner; where that fails, the turn ends with its deadline.
func (c *Client) endTurn(p *peer, result hemlocktally.GrantResult) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if _, err := p.client.EndTurn(ctx, endTurnRequest(result)); err != nil {
		c.Log.Log(logger.EventOwnerSilent, logger.Fields{"Owner": result.Grant.Owner, "Cause": err.Error()})
	}
}
