package hemlocktally

import "crypto/sha256"

// CustomerName identifies a customer.
type CustomerName string

// KeyDigest is the SHA-256 digest of a customer's key. Keys themselves are kept nowhere, so
// that they can't appear in logs or metrics.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is a party whose callers identify themselves by its keys.
type Customer struct {
	Name CustomerName
	// Priority replaces that of the contract if PrioritySet is set.
	Priority    Priority
	PrioritySet bool
	// RatePerSecond and Burst are the customer's quota over all instances. There is no
	// quota if RatePerSecond is zero.
	RatePerSecond float64
	Burst         float64
}

// HasQuota reports whether the number of the customer's calls is limited.
func (c Customer) HasQuota() bool { return c.RatePerSecond > 0 }

// CustomerKeys finds customers by their keys. The lookup by digest takes the same time
// whatever part of a guessed key is right.
type CustomerKeys map[KeyDigest]int32

// FindCustomer returns the customer that holds the key with the given digest.
func (c *Configuration) FindCustomer(key KeyDigest) (Customer, bool) {
	i, ok := c.CustomerKeys[key]
	if !ok || int(i) >= len(c.Customers) {
		return Customer{}, false
	}
	return c.Customers[i], true
}
