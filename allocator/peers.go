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

	mu           sync.Mutex
	lastHeard    time.Time
	avoidUntil   time.Time // avoid is until when it is not asked, because it did not answer.
	pendingCalls map[*pendingCall]struct{}
	pingInFlight bool
	reporting    bool
}

// wait is a call that waits for the peer's answer.
type pendingCall struct {
	startedAt time.Time
	cancel    context.CancelCauseFunc
}

// Bounds of an owner's silence.
const (
	silenceThreshold     = 40 * time.Millisecond // quietBound is the silence after which a waiting owner is pinged.
	pingTimeout          = 250 * time.Millisecond
	avoidDuration        = time.Second
	recentContact        = 300 * time.Millisecond // heardLately is how long a sign of life counts.
	silenceCheckInterval = 25 * time.Millisecond
	reportTimeout        = 500 * time.Millisecond
	resultsBufferSize    = 4096
	maxReportResults     = 512
)

// silentError says that a peer did not answer.
type unresponsiveError struct {
	Peer hemlocktally.InstanceID
}

// Error names the peer.
func (e *unresponsiveError) Error() string { return "no answer of " + string(e.Peer) }

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
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.pingSilentPeers(ctx, time.Now())
		}
	}
}

func (p *Peers) pingSilentPeers(ctx context.Context, now time.Time) {
	for _, other := range p.snapshot() {
		if other.beginPing(now) {
			go p.ping(ctx, other)
		}
	}
}

func (p *Peers) snapshot() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.peers))
}

// quiet reports whether calls wait for the peer and nothing was heard of it. It
// marks the peer as being pinged.
func (p *peer) beginPing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pingInFlight || now.Sub(p.lastHeard) < silenceThreshold {
		return false
	}
	for call := range p.pendingCalls {
		if now.Sub(call.startedAt) >= silenceThreshold {
			p.pingInFlight = true
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
	other.pingInFlight = false
	if err == nil {
		other.lastHeard, other.avoidUntil = time.Now(), time.Time{}
		other.mu.Unlock()
		return
	}
	other.avoidUntil = time.Now().Add(avoidDuration)
	for call := range other.pendingCalls {
		call.cancel(&unresponsiveError{other.id})
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
		results: make(chan *messenger.Result, resultsBufferSize), pendingCalls: map[*pendingCall]struct{}{},
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
	return now.Before(other.avoidUntil)
}

// reachable reports whether the member was heard lately, and pings it where it
// was not.
func (p *Peers) reachable(ctx context.Context, member hemlocktally.Instance, now time.Time) bool {
	other := p.peer(member)
	other.mu.Lock()
	heard := now.Sub(other.lastHeard) < recentContact
	shouldPing := !heard && !other.pingInFlight && !now.Before(other.avoidUntil)
	other.pingInFlight = other.pingInFlight || shouldPing
	other.mu.Unlock()
	if shouldPing {
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
	call := &pendingCall{startedAt: time.Now(), cancel: cancel}
	other.mu.Lock()
	other.pendingCalls[call] = struct{}{}
	other.mu.Unlock()
	out, err := other.client.Acquire(ctx, in)
	if err != nil && ctx.Err() == nil && time.Since(call.startedAt) < silenceThreshold {
		// The other end may have closed an idle link at this moment. A turn that
		// was granted to the lost question is freed by the owner's next recall.
		out, err = other.client.Acquire(ctx, in)
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	delete(other.pendingCalls, call)
	if err == nil {
		other.lastHeard, other.avoidUntil = time.Now(), time.Time{}
		return out, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	other.avoidUntil = time.Now().Add(avoidDuration)
	return nil, &unresponsiveError{other.id}
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
	go p.reportLoop(ctx, other)
}

// reportAll sends the results that wait, all that came during one request in
// the next, and ends when there are none.
func (p *Peers) reportLoop(ctx context.Context, other *peer) {
	for {
		request := &messenger.ReportRequest{Instance: string(p.Self), Results: other.drainResults()}
		if len(request.Results) == 0 && other.stopReporting() {
			return
		}
		if len(request.Results) == 0 {
			continue
		}
		p.sendReport(ctx, other, request)
	}
}

func (p *Peers) sendReport(ctx context.Context, other *peer, request *messenger.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := other.client.Report(ctx, request); err != nil {
		return
	}
	other.mu.Lock()
	other.lastHeard = time.Now()
	other.mu.Unlock()
}

func (p *peer) drainResults() []*messenger.Result {
	var results []*messenger.Result
	for len(results) < maxReportResults {
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
