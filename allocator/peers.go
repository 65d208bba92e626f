package allocator

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Peers holds what one instance needs to speak with the others: a client, a
// task that reports results in batches, and the calls that wait for an answer.
// It is safe for use by several goroutines.
type Peers struct {
	Self hemlocktally.InstanceID
	HTTP *http.Client
	Log  logger.Logger

	mu    sync.Mutex
	ctx   context.Context //nolint:containedctx // The reporters end with the run, not with one request.
	peers map[string]*peer
}

// peer is one other instance at one address.
type peer struct {
	id      hemlocktally.InstanceID
	client  messenger.Allocation
	results chan *messenger.Result

	mu        sync.Mutex
	heardAt   time.Time
	avoid     time.Time // avoid is until when it is not asked, because it did not answer.
	waiting   map[*wait]struct{}
	pinging   bool
	reporting bool
}

// wait is a call that waits for the peer's answer.
type wait struct {
	since  time.Time
	cancel context.CancelCauseFunc
}

// Bounds of an owner's silence.
const (
	quietBound    = 40 * time.Millisecond // quietBound is the silence after which a waiting owner is pinged.
	pingTimeout   = 250 * time.Millisecond
	avoidTime     = time.Second
	heardLately   = 300 * time.Millisecond // heardLately is how long a sign of life counts.
	watchInterval = 25 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	resultsBuffer = 4096
	reportMaximum = 512
)

// silentError says that a peer did not answer.
type silentError struct {
	Peer hemlocktally.InstanceID
}

// Error names the peer.
func (e *silentError) Error() string { return "no answer of " + string(e.Peer) }

// notOwnerError says that a peer hears the owner and does not stand in for it.
type notOwnerError struct {
	Peer hemlocktally.InstanceID
}

// Error names the peer.
func (e *notOwnerError) Error() string { return string(e.Peer) + " hears the owner" }

// refusedNotOwner is the wire's word for a notOwnerError.
const refusedNotOwner = "NotOwner"

// Run watches the peers that calls wait for, until the context ends.
func (p *Peers) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.watch(ctx, time.Now())
		}
	}
}

func (p *Peers) watch(ctx context.Context, now time.Time) {
	for _, other := range p.all() {
		if other.quiet(now) {
			go p.ping(ctx, other)
		}
	}
}

func (p *Peers) all() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.peers))
}

// quiet reports whether calls wait for the peer and nothing was heard of it. It
// marks the peer as being pinged.
func (p *peer) quiet(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pinging || now.Sub(p.heardAt) < quietBound {
		return false
	}
	for w := range p.waiting {
		if now.Sub(w.since) >= quietBound {
			p.pinging = true
			return true
		}
	}
	return false
}

// ping asks the peer for a sign of life. Without one, all calls that wait for
// it go on without it.
func (p *Peers) ping(ctx context.Context, other *peer) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := other.client.Report(ctx, &messenger.ReportRequest{Instance: string(p.Self)})
	other.mu.Lock()
	other.pinging = false
	if err == nil {
		other.heardAt, other.avoid = time.Now(), time.Time{}
		other.mu.Unlock()
		return
	}
	other.avoid = time.Now().Add(avoidTime)
	for w := range other.waiting {
		w.cancel(&silentError{other.id})
	}
	other.mu.Unlock()
	p.Log.Log(logger.EventOwnerSilent, logger.Fields{"Owner": other.id, "Cause": err.Error()})
}

func (p *Peers) peer(member hemlocktally.Instance) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.peers[member.PeerAddress]; ok {
		return other
	}
	other := &peer{
		id: member.ID, client: messenger.NewAllocationProtobufClient("http://"+member.PeerAddress, p.HTTP),
		results: make(chan *messenger.Result, resultsBuffer), waiting: map[*wait]struct{}{},
	}
	if p.peers == nil {
		p.peers = map[string]*peer{}
	}
	p.peers[member.PeerAddress] = other
	return other
}

func (p *Peers) client(member hemlocktally.Instance) messenger.Allocation {
	return p.peer(member).client
}

// avoided reports whether the member lately did not answer.
func (p *Peers) avoided(member hemlocktally.Instance, now time.Time) bool {
	other := p.peer(member)
	other.mu.Lock()
	defer other.mu.Unlock()
	return now.Before(other.avoid)
}

// reachable reports whether the member was heard lately, and pings it where it
// was not.
func (p *Peers) reachable(ctx context.Context, member hemlocktally.Instance, now time.Time) bool {
	other := p.peer(member)
	other.mu.Lock()
	heard := now.Sub(other.heardAt) < heardLately
	ask := !heard && !other.pinging && !now.Before(other.avoid)
	other.pinging = other.pinging || ask
	other.mu.Unlock()
	if ask {
		p.ping(ctx, other)
	}
	return heard || !p.avoided(member, time.Now())
}

// acquire asks the member for a turn. It returns a *silentError where the
// member does not answer.
func (p *Peers) acquire(ctx context.Context, member hemlocktally.Instance, in *messenger.AcquireRequest) (*messenger.AcquireResponse, error) {
	other := p.peer(member)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &wait{since: time.Now(), cancel: cancel}
	other.mu.Lock()
	other.waiting[w] = struct{}{}
	other.mu.Unlock()
	out, err := other.client.Acquire(ctx, in)
	if err != nil && ctx.Err() == nil && time.Since(w.since) < quietBound {
		// The other end may have closed an idle link at this moment. A turn that
		// was granted to the lost question is freed by the owner's next recall.
		out, err = other.client.Acquire(ctx, in)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	delete(other.waiting, w)
	if err == nil {
		other.heardAt, other.avoid = time.Now(), time.Time{}
		return out, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	other.avoid = time.Now().Add(avoidTime)
	return nil, &silentError{other.id}
}

// report hands a result to the task that reports to the member. Where too many
// wait, the result is dropped: the next recall makes the tally right again.
func (p *Peers) report(member hemlocktally.Instance, result *messenger.Result) {
	other := p.peer(member)
	select {
	case other.results <- result:
	default:
	}
	// No peer is locked while the list of peers is, nor the other way round.
	p.mu.Lock()
	ctx := p.ctx
	p.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	if other.reporting || ctx == nil {
		return
	}
	other.reporting = true
	go p.reportAll(ctx, other)
}

// reportAll sends the results that wait, all that came during one request in
// the next, and ends when there are none.
func (p *Peers) reportAll(ctx context.Context, other *peer) {
	for {
		request := &messenger.ReportRequest{Instance: string(p.Self), Results: other.take()}
		if len(request.Results) == 0 && other.stopReporting() {
			return
		}
		if len(request.Results) == 0 {
			continue
		}
		p.send(ctx, other, request)
	}
}

func (p *Peers) send(ctx context.Context, other *peer, request *messenger.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := other.client.Report(ctx, request); err != nil {
		return
	}
	other.mu.Lock()
	other.heardAt = time.Now()
	other.mu.Unlock()
}

func (p *peer) take() []*messenger.Result {
	var results []*messenger.Result
	for len(results) < reportMaximum {
		select {
		case result := <-p.results:
			results = append(results, result)
		default:
			return results
		}
	}
	return results
}

// stopReporting ends the reporter unless a result came meanwhile.
func (p *peer) stopReporting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.results) > 0 {
		return false
	}
	p.reporting = false
	return true
}
