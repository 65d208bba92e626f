package registrar

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLeaseEndsForHolderBeforeStore(t *testing.T) {
	c := qt.New(t)
	sent := time.Unix(1000, 0)
	lease := newHeldLease("a", sent, 6*time.Second)
	c.Check(lease.live(sent.Add(5*time.Second)), qt.IsTrue)
	c.Check(lease.live(sent.Add(6*time.Second-leaseMargin)), qt.IsFalse)
	c.Check(heldLease{}.live(sent), qt.IsFalse)
}

func TestLapsedLeaseIsNotReturned(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	_, _, ok := r.Lease()
	c.Check(ok, qt.IsFalse)
	past := newHeldLease("a", time.Now().Add(-time.Hour), 6*time.Second)
	r.lease.Store(&past)
	_, _, ok = r.Lease()
	c.Check(ok, qt.IsFalse)
}

func TestRenewalAfterExpiryDoesNotExtendLease(t *testing.T) {
	c := qt.New(t)
	sent := time.Unix(1000, 0)
	s := &State{}
	s.Update(RegisteredMsg{Lease: "a", Sent: sent}, sent)
	late := sent.Add(DefaultLeaseTTL)
	s.Update(RenewedMsg{Lease: "a", Sent: sent.Add(time.Second), Result: RenewDone}, late)
	c.Check(s.Lease().live(late), qt.IsFalse)
}
