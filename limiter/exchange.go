package limiter

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Limiter counts the calls of customers for all services that an instance owns, and exchanges
// counts and shares with the other hubs. Its exported fields must be set before Run. It implements
// messenger.Quota.
type Limiter struct {
	Self        hemlocktally.InstanceID
	Incarnation string
	Address     string // Address is where other hubs reach this instance.
	Bounds      Bounds
	View        hemlocktally.ViewSource // View lists the hubs.
	// StoreAge returns how long ago the store last answered the instance; it may be nil.
	StoreAge func() time.Duration
	HTTP     *http.Client
	Log      logger.Logger

	mu    sync.Mutex
	state State
	wake  chan struct{}
	// roundEnded is closed at the end of the next round.
	roundEnded chan struct{}
	seen       map[hemlocktally.InstanceID]bool // seen holds the hubs without contact, for the log.
}

const (
	// roundInterval is the time between two rounds of messages to all hubs.
	roundInterval = 250 * time.Millisecond
	// earlyInterval is the minimum time between a round that a nearly used share causes and the
	// one before.
	earlyInterval = 20 * time.Millisecond
	// exchangeTimeout limits the wait for the response of one hub.
	exchangeTimeout = 250 * time.Millisecond
	// storeLostAfter is the time without an answer of the store after which a hub's lease may have
	// ended.
	storeLostAfter = 2 * time.Second
	// holdTime is how long a call waits for a larger share of this hub before it is refused. It is
	// less than the time for which other instances wait for an owner's answer.
	holdTime = 50 * time.Millisecond
	// maxPeerCounts limits how many counts of a message are used.
	maxPeerCounts = 20000
)

// Prepare initializes the limiter; it is called before any other method.
func (l *Limiter) Prepare() {
	l.wake, l.roundEnded = make(chan struct{}, 1), make(chan struct{})
	l.state = State{Self: l.Self, Incarnation: l.Incarnation, Address: l.Address, Bounds: l.Bounds}
	l.state.start(time.Now())
	l.seen = map[hemlocktally.InstanceID]bool{}
}

// Configure sets the quotas.
func (l *Limiter) Configure(customers []hemlocktally.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.SetCustomers(customers, time.Now())
}

// Yield refuses a late call of a customer that has used up nearly all of its quota. It implements
// placer.Quotas.
func (l *Limiter) Yield(customer hemlocktally.CustomerName) *hemlocktally.RefusedError {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.Active() {
		return nil
	}
	return l.state.Yield(customer, time.Now())
}

// Take counts a call of a customer, or refuses it. sent is what the instance that asks has sent
// lately. It implements placer.Quotas.
func (l *Limiter) Take(customer hemlocktally.CustomerName, from hemlocktally.InstanceID, sent []uint32) (Charge, *hemlocktally.RefusedError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.Active() {
		return Charge{}, nil
	}
	l.state.Learn(customer, from, sent, time.Now())
	for until := time.Now().Add(holdTime); ; {
		now := time.Now()
		charge, refused, pending := l.state.Take(customer, !now.Before(until), now)
		if l.state.Urgent() {
			l.wakeUp()
		}
		if !pending {
			return charge, refused
		}
		l.awaitRound(until)
	}
}

func (l *Limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// awaitRound waits for the end of a round or the given time. The lock is released meanwhile.
func (l *Limiter) awaitRound(until time.Time) {
	ended := l.roundEnded
	l.mu.Unlock()
	defer l.mu.Lock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

// Start moves a call to the time at which it is sent.
func (l *Limiter) Start(charge Charge) Charge {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Start(charge, time.Now())
}

// GiveBack takes a call back that was certainly not executed.
func (l *Limiter) GiveBack(charge Charge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.GiveBack(charge)
}

// Stats returns the statistics of the customers with calls.
func (l *Limiter) Stats() []Stats {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Stats(time.Now())
}

// Leave gives the shares of this instance up.
func (l *Limiter) Leave() {
	l.mu.Lock()
	l.state.Leave()
	l.mu.Unlock()
	l.wakeUp()
}

// Run exchanges counts and shares with the other hubs until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		early := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-l.wake:
			early = true
		}
		l.round(ctx, early)
		if early {
			wait(ctx, earlyInterval)
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// round tells all other hubs what this one has counted, and asks them for the shares that it
// needs.
func (l *Limiter) round(ctx context.Context, early bool) {
	message, waitFor, silent := l.begin(early)
	if len(waitFor)+len(silent) == 0 {
		l.finish(true)
		return
	}
	for _, hub := range silent {
		go l.tell(ctx, hub, message)
	}
	answers := make(chan bool, len(waitFor))
	for _, hub := range waitFor {
		go func() { answers <- l.tell(ctx, hub, message) }()
	}
	complete := true
	for range waitFor {
		complete = <-answers && complete
	}
	l.finish(complete)
}

// begin returns the message of a round and the hubs that get it; none if there is nothing to do.
func (l *Limiter) begin(early bool) (message Message, waitFor, silent []hemlocktally.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.Active() {
		return message, nil, nil
	}
	now := time.Now()
	l.state.SetHubs(l.View.View().Serving(), now)
	l.state.SetStoreLost(l.StoreAge != nil && l.StoreAge() > storeLostAfter)
	if !l.state.TakesPart(now) {
		return message, nil, nil
	}
	message, needed := l.state.Begin(early, now)
	for _, r := range l.state.Refusals(now) {
		l.Log.Log(logger.EventQuotaRefused, logger.Fields{
			"Customer": r.Customer, "Refused": r.Refused, "Quota": r.Quota, "Used": r.Used, "Share": r.Share,
		})
	}
	if !needed {
		return message, nil, nil
	}
	waitFor, silent = l.state.Others()
	l.logSilent(silent)
	return message, waitFor, silent
}

// logSilent logs the hubs to which the contact was lost. The lock is held.
func (l *Limiter) logSilent(silent []hemlocktally.Instance) {
	seen := map[hemlocktally.InstanceID]bool{}
	for _, hub := range silent {
		seen[hub.ID] = true
		if !l.seen[hub.ID] {
			l.Log.Log(logger.EventQuotaHubSilent, logger.Fields{"Hub": hub.ID})
		}
	}
	l.seen = seen
}

func (l *Limiter) finish(complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Finish(complete, time.Now())
	close(l.roundEnded)
	l.roundEnded = make(chan struct{})
}

// tell sends the message to one hub and reports whether it needs no further consideration in
// this round: it has answered, or its process has ended.
func (l *Limiter) tell(ctx context.Context, hub hemlocktally.Instance, message Message) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	out, err := messenger.NewQuotaProtobufClient("http://"+hub.PeerAddress, l.HTTP).Exchange(ctx, newExchange(message))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		l.state.Heard(exchanged(out), sentAt, now)
	case errors.Is(err, syscall.ECONNREFUSED):
		// Nobody listens there any more, so the hub has ended.
		l.state.Depart(hub.ID, hub.Incarnation, true, now)
	default:
		return false
	}
	return true
}

// Exchange implements messenger.Quota.
func (l *Limiter) Exchange(_ context.Context, in *messenger.QuotaExchange) (*messenger.QuotaExchange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return newExchange(l.state.Answer(exchanged(in), time.Now())), nil
}
