package placer

import (
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// limitsExchange is the state of the exchange with one server.
type limitsExchange struct {
	toldAt time.Time // toldAt is when the server was last told all that the instance knows.
	heard  uint64    // heard is the version of the server's last news.
}

// limitsKey identifies an exchange. The server is the ID of an owner, which may be the instance
// itself, or aloneServer.
type limitsKey struct {
	server  string
	service hemlocktally.ServiceName
}

// aloneServer stands for the server with which an instance decides alone.
const aloneServer = "alone"

// Limits returns how many targets have a limit, as far as this instance knows, and how many
// grants it has used that were counted against a limit.
func (c *Client) Limits() (targets int, granted uint64) {
	return c.limits.limited(time.Now()), c.limits.granted.Load()
}

// returnIfUncounted returns the grant to its server, with what this instance knows of the
// target's limit, if the server did not know it and therefore did not count the grant. It
// reports whether it did. A server that knows better tells this instance.
func (c *Client) returnIfUncounted(grant hemlocktally.Grant) bool {
	now := time.Now()
	if !grant.Limit.At.IsZero() {
		c.recordLimit(grant.Service, targetLimit(grant.Target, grant.Limit), c.serverOf(grant))
	}
	known, ok := c.limits.find(grant.Target, now)
	if !ok || !known.Named || grant.Limit.Named {
		return false
	}
	c.forgetLimitsTold(grant)
	c.release(hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptUnused, Limit: &known})
	return true
}

func targetLimit(target hemlocktally.Target, limit hemlocktally.RateLimit) hemlocktally.TargetLimit {
	return hemlocktally.TargetLimit{Target: target.Name, Started: target.Started, Limit: limit}
}

// recordLimit applies what a response of a target said of its limit, or what the named server
// heard of it.
func (c *Client) recordLimit(service hemlocktally.ServiceName, said hemlocktally.TargetLimit, heardFrom string) {
	now := time.Now()
	before, changed := c.limits.record(service, said, heardFrom, now)
	if !changed {
		return
	}
	c.Log.Log(logger.EventTargetLimit, logger.Fields{
		"Service": service, "Target": said.Target, "Limit": said.Limit.String(), "Before": before.String(), "Age": now.Sub(said.Limit.At).String(),
		"HeardFrom": heardFrom,
	})
}

// exchangeLimits adds to the request what the server has not been told of targets' limits. The
// returned function must be called with the news in the server's answer.
func (c *Client) exchangeLimits(server string, msg AcquireMsg) (AcquireMsg, func(LimitNews)) {
	key, now := limitsKey{server: server, service: msg.Request.Service}, time.Now()
	c.mu.Lock()
	exchanged := c.limitsExchanged[key]
	c.mu.Unlock()
	msg.Limits, msg.LimitsVersion = c.limits.newsFor(server, key.service, exchanged.toldAt), exchanged.heard
	return msg, func(news LimitNews) {
		if news.Version == 0 || (news.Version == exchanged.heard && len(msg.Limits) == 0) {
			return // There is nothing new, or the request did not get as far as the state.
		}
		exchanged.toldAt = now
		for _, said := range news.Limits {
			c.recordLimit(key.service, said, server)
		}
		exchanged.heard = news.Version
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.limitsExchanged == nil {
			c.limitsExchanged = map[limitsKey]limitsExchange{}
		}
		c.limitsExchanged[key] = exchanged
	}
}

// forgetLimitsTold makes the client tell the grant's server all limits again.
func (c *Client) forgetLimitsTold(grant hemlocktally.Grant) {
	key := limitsKey{server: c.serverOf(grant), service: grant.Service}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limitsExchanged, key)
}

// serverOf returns the server that issued the grant, as in limitsKey.
func (c *Client) serverOf(grant hemlocktally.Grant) string {
	if grant.Alone {
		return aloneServer
	}
	return string(grant.Owner)
}
