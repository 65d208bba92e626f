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

// Peers is the client of one instance for all others. It reports results in
// batches, and pings peers that do not respond to a pending call. It is safe for
// concurrent use. The exported fields are set before Run and not changed after.
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
	lastHeard time.Time
	// avoidUntil is the time before which the peer is avoided, because it did not respond.
	avoidUntil   time.Time
	pendingCalls map[*pendingCall]struct{}
	pingInFlight bool
	reporting    bool
}

// pendingCall is a call that waits for the peer's response.
type pendingCall struct {
	startedAt time.Time
	cancel    context.CancelCauseFunc
}

// Time limits for unresponsive peers, and sizes of reports.
const (
	// silenceThreshold is how long a peer with a pending call may be silent before it is pinged.
	silenceThreshold = 40 * time.Millisecond
	pingTimeout      = 250 * time.Millisecond
	avoidDuration    = time.Second
	// recentContact is how long after a response a peer counts as reachable.
	recentContact        = 300 * time.Millisecond
	silenceCheckInterval = 25 * time.Millisecond
	reportTimeout        = 500 * time.Millisecond
	resultsBufferSize    = 4096
	maxReportResults     = 512
)

// unresponsiveError is the error of a call to a peer that does not respond.
type unresponsiveError struct {
	Peer hemlocktally.InstanceID
}

// Error returns a text with the peer's ID.
func (e *unresponsiveError) Error() string { return "no response from " + string(e.Peer) }

// notOwnerError is the error of a stand-in that reaches the owner and so refuses
// to replace it.
type notOwnerError struct {
	Peer hemlocktally.InstanceID
}

// Error returns a text with the peer's ID.
func (e *notOwnerError) Error() string { return string(e.Peer) + " reaches the owner" }

// refusedNotOwner stands for a notOwnerError in AcquireResponse.Refused.
const refusedNotOwner = "NotOwner"

// Run pings silent peers with pending calls until the context ends. It returns
// nil.
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

// beginPing reports whether the peer has to be pinged: a call has been pending,
// and the peer silent, for silenceThreshold. If so, it marks the ping as in
// flight.
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

// ping sends the peer an empty report. If it fails, the peer is avoided for
// avoidDuration and all pending calls to it are cancelled with an
// *unresponsiveError.
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
	p.Log.Log(logger.EventOwnerUnresponsive, logger.Fields{"Owner": other.id, "Cause": err.Error()})
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

// avoided reports whether the member is avoided because it did not respond.
func (p *Peers) avoided(member hemlocktally.Instance, now time.Time) bool {
	other := p.peer(member)
	other.mu.Lock()
	defer other.mu.Unlock()
	return now.Before(other.avoidUntil)
}

// reachable reports whether the member responded recently. If it did not, it is
// pinged first, unless a ping is in flight or the member is avoided.
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

// acquire sends the member a request for a grant. It returns an
// *unresponsiveError if the member does not respond.
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
		// The peer may have closed an idle connection at this moment. If the lost
		// request got a grant, the owner's next recall releases it.
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

// report queues a result for the member and starts its reporter if needed. If
// the queue is full, the result is dropped: the owner's next recall corrects its
// count of grants in flight.
func (p *Peers) report(member hemlocktally.Instance, result *messenger.Result) {
	other := p.peer(member)
	select {
	case other.results <- result:
	default:
	}
	// The locks of the peer list and of a peer are never held together.
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

// reportLoop sends the queued results in batches: those that arrive during one
// request go into the next. It ends when none are left.
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

// stopReporting marks the reporter as ended and returns true, unless results are
// queued.
func (p *peer) stopReporting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.results) > 0 {
		return false
	}
	p.reporting = false
	return true
}
