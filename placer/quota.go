package placer

import (
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/limiter"
)

// Quotas counts calls against the quotas of customers.
type Quotas interface {
	// Take counts a call, or refuses it. The call comes from the given instance, which has sent
	// the given numbers of the customer's calls lately.
	Take(customer hemlocktally.CustomerName, from hemlocktally.InstanceID, sent []uint32) (limiter.Charge, *hemlocktally.RefusedError)
	// Yield refuses a late call of a customer that has used up nearly all of its quota.
	Yield(customer hemlocktally.CustomerName) *hemlocktally.RefusedError
	// Start moves a call to the time at which it is sent to a target.
	Start(charge limiter.Charge) limiter.Charge
	// GiveBack takes a call back that was certainly not executed.
	GiveBack(charge limiter.Charge)
}

const (
	// abandonedAfter is how long after its last request a ticket counts as given up by its client.
	abandonedAfter = 300 * time.Millisecond
	// chargeSweepInterval is the minimum time between two searches for such tickets.
	chargeSweepInterval = time.Second
)

// charges holds the calls that are counted against quotas and not yet ended.
type charges struct {
	mu      sync.Mutex
	waiting map[string]*charge // waiting is keyed by ticket.
	granted map[hemlocktally.GrantID]*charge
	sweptAt time.Time
}

// charge is one counted call.
type charge struct {
	limiter.Charge
	expires time.Time
}

// counts reports whether an attempt counts against a quota.
func (s *Server) counts(msg AcquireMsg) bool {
	return s.Quotas != nil && msg.Request.Customer != "" && !msg.Request.Counted
}

// charge counts the call of a ticket once, however often its client asks.
func (s *Server) charge(msg AcquireMsg, now time.Time) *hemlocktally.RefusedError {
	if !s.counts(msg) {
		return nil
	}
	c := &s.charges
	c.mu.Lock()
	c.sweep(s.Quotas, now)
	known := c.waiting[msg.Ticket]
	if known != nil {
		known.expires = now.Add(abandonedAfter)
	}
	c.mu.Unlock()
	if known != nil {
		return nil
	}
	if msg.Request.Late {
		if refused := s.Quotas.Yield(msg.Request.Customer); refused != nil {
			return refused
		}
	}
	taken, refused := s.Quotas.Take(msg.Request.Customer, msg.From, msg.Sent)
	if refused != nil || !taken.Counted() {
		return refused
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting, c.granted = map[string]*charge{}, map[hemlocktally.GrantID]*charge{}
	}
	c.waiting[msg.Ticket] = &charge{Charge: taken, expires: time.Now().Add(abandonedAfter)}
	return nil
}

// settleTicket notes the answer to a ticket. A call that is refused or withdrawn does not count.
func (s *Server) settleTicket(ticket string, answer any) {
	if _, pending := answer.(PendingCmd); pending || s.Quotas == nil {
		return
	}
	c := &s.charges
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.waiting[ticket]
	if taken == nil {
		return
	}
	delete(c.waiting, ticket)
	if granted, ok := answer.(GrantCmd); ok {
		taken.Charge = s.Quotas.Start(taken.Charge)
		taken.expires = granted.Grant.Deadline.Add(grantGrace)
		c.granted[granted.Grant.ID] = taken
		return
	}
	s.Quotas.GiveBack(taken.Charge)
}

// settleGrant notes the end of a grant. A call that its target did not run does not count, unless
// another attempt relies on its count.
func (s *Server) settleGrant(result hemlocktally.GrantResult) {
	if s.Quotas == nil {
		return
	}
	c := &s.charges
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.granted[result.Grant.ID]
	if taken == nil {
		return
	}
	delete(c.granted, result.Grant.ID)
	if !result.Counted && (result.Outcome == hemlocktally.AttemptUnused || result.Outcome == hemlocktally.AttemptRefused) {
		s.Quotas.GiveBack(taken.Charge)
	}
}

// sweep gives back the calls whose clients no longer ask, and forgets the grants whose end is
// not reported. The lock is held.
func (c *charges) sweep(quotas Quotas, now time.Time) {
	if now.Sub(c.sweptAt) < chargeSweepInterval {
		return
	}
	c.sweptAt = now
	for ticket, taken := range c.waiting {
		if now.After(taken.expires) {
			delete(c.waiting, ticket)
			quotas.GiveBack(taken.Charge)
		}
	}
	for id, taken := range c.granted {
		if now.After(taken.expires) {
			delete(c.granted, id)
		}
	}
}

// sent returns what this instance has sent of the customer's calls, for an owner that does not
// know what was granted before it started.
func (c *Client) sent(request hemlocktally.GrantRequest) []uint32 {
	if request.Customer == "" || request.Counted {
		return nil
	}
	return c.Quotas.Sent(request.Customer)
}

// noteGranted counts a call that an owner granted. Those that the instance decided on alone are
// counted already.
func (c *Client) noteGranted(request hemlocktally.GrantRequest, grant hemlocktally.Grant) {
	if request.Customer != "" && !request.Counted && !grant.Alone {
		c.Quotas.Granted(request.Customer)
	}
}

// noteRefused notes that an owner refused a call for its customer's quota.
func (c *Client) noteRefused(request hemlocktally.GrantRequest, reason hemlocktally.Reason) {
	if reason == hemlocktally.ReasonQuota {
		c.Quotas.Refused(request.Customer)
	}
}
