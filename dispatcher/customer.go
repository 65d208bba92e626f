package dispatcher

import (
	"net/http"
	"strings"

	"hemlocktally"
)

const headerAuthorization = "Authorization"

// identifyCustomer finds the customer by the caller's key and applies its priority. It refuses
// a call without a valid key if the contract needs one.
func (c *call) identifyCustomer() *hemlocktally.RefusedError {
	if !c.config.KeysRequired {
		return nil
	}
	key, ok := bearerKey(c.request.Header)
	if ok {
		c.customer, ok = c.config.FindCustomer(hemlocktally.DigestKey(key))
	}
	switch {
	case !ok && !c.contract.Public:
		return notRunError(hemlocktally.ReasonUnauthorized, "the request has no valid key")
	case !ok:
		return nil
	}
	c.record.Caller, c.record.Tenant = hemlocktally.CallerName(c.customer.Name), string(c.customer.Name)
	c.record.Customer = c.customer.Name
	if c.customer.PrioritySet {
		c.contract.Priority = c.customer.Priority
	}
	return nil
}

// bearerKey returns the key of a request. A request with several Authorization headers has
// none: the target or another instance could take another one of them for the key.
func bearerKey(header http.Header) (string, bool) {
	values := header[headerAuthorization]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// removeKey removes the caller's key from the header of a request to a target.
func (c *call) removeKey(header http.Header) {
	if c.config.KeysRequired {
		delete(header, headerAuthorization)
	}
}
