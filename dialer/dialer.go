// Package dialer pools connections to targets, called links. Each link carries one
// request at a time and never sends a request twice. A target accepts a limited
// number of connections from all instances together, so each instance uses only
// its share of them.
package dialer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/validator"
)

const (
	defaultProvenFor   = 250 * time.Millisecond
	defaultIdleLimit   = 30 * time.Second
	defaultDialTimeout = 500 * time.Millisecond
	maxIdlePerTarget   = 8 // maxIdlePerTarget limits the idle links to one target.
	sweepInterval      = time.Second
	warmInterval       = 100 * time.Millisecond
	maxWarmPerRound    = 32 // maxWarmPerRound limits the links that one warm-up round opens.
	// maxWarmTargets is the number of targets with a pool from which on no link is
	// opened ahead of the first request.
	maxWarmTargets  = 512
	linkBufferBytes = 8 << 10
	// maxResponseHeaderBytes limits the header of a target's response.
	maxResponseHeaderBytes = 64 << 10
	// reservedFraction is the fraction of a target's connections that is left to
	// probes and to instances that have not discovered one another yet.
	reservedFraction = 0.1
)

// Dialer implements hemlocktally.ConnPool and may be used concurrently. Its zero
// value is ready to use; without a view it assumes that there is one instance.
type Dialer struct {
	Viewer hemlocktally.ViewSource
	// Configuration lists the targets to which Run opens a link ahead of the first
	// request. It may be nil, and then Run opens none.
	Configuration hemlocktally.ConfigurationSource
	// ProvenFor is how long after the last received byte a link counts as proven to
	// work; zero means 250 ms.
	ProvenFor   time.Duration
	IdleLimit   time.Duration // IdleLimit is how long an unused link stays open; zero means 30 s.
	DialTimeout time.Duration // DialTimeout limits the opening of a link; zero means 500 ms.
	MaxLinks    int           // MaxLinks limits the links to all targets together; zero means no limit.
	// Dial opens a connection; nil means a net.Dialer with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
	mu        sync.Mutex
	pools     map[string]*pool // pools is keyed by target address.
	closed    bool
	abandoned atomic.Uint64 // abandoned counts the links that were closed with a request that had no response.
}

// Abandoned returns how many links were closed with a request that had no response.
func (d *Dialer) Abandoned() uint64 {
	if d == nil {
		return 0
	}
	return d.abandoned.Load()
}

func (d *Dialer) init() {
	d.once.Do(func() {
		d.ProvenFor = cmp.Or(d.ProvenFor, defaultProvenFor)
		d.IdleLimit = cmp.Or(d.IdleLimit, defaultIdleLimit)
		d.DialTimeout = cmp.Or(d.DialTimeout, defaultDialTimeout)
		if d.Dial == nil {
			d.Dial = (&net.Dialer{Timeout: d.DialTimeout}).DialContext
		}
		d.transport = &http.Transport{
			DisableCompression: true, DialContext: preparedConn,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			ReadBufferSize:         linkBufferBytes, WriteBufferSize: linkBufferBytes,
		}
		d.pools = map[string]*pool{}
	})
}

// Share returns how many links to the target this instance may hold: an equal
// share of the target's connection limit, less the reserved fraction, and at least
// one.
func (d *Dialer) Share(target hemlocktally.Target) int {
	instances := 0
	if d.Viewer != nil {
		view := d.Viewer.View()
		instances = max(view.Instances, len(view.Serving()))
	}
	instances = max(1, instances)
	return max(1, int(float64(target.ConnectionLimit())*(1-reservedFraction))/instances)
}

// Take returns a link for one request. It prefers the idle link that was released
// last, opens a new one where there is none or where a proven one is asked for and
// that one is not, and waits for a release where the share is used up. It returns a
// *hemlocktally.ConnError where dialing fails or the context ends. The caller must
// call Release on the link.
func (d *Dialer) Take(ctx context.Context, request hemlocktally.ConnRequest) (hemlocktally.TargetConn, error) {
	d.init()
	share := d.Share(request.Target)
	for {
		result := d.takeFromPool(request, share)
		closeAll(result.toClose)
		switch {
		case result.link != nil:
			if result.link.reserve(request) {
				return result.link, nil
			}
			result.link.discard()
		case result.full:
			return nil, &hemlocktally.ConnError{Target: request.Target.Name, Cause: &hemlocktally.OverloadError{}}
		case result.dial:
			return d.open(ctx, request)
		default:
			if err := d.waitForLink(ctx, request.Target, result.wait); err != nil {
				return nil, err
			}
		}
	}
}

func (d *Dialer) takeFromPool(request hemlocktally.ConnRequest, share int) takeResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[request.Target.Address]
	if p == nil {
		p = &pool{}
		d.pools[request.Target.Address] = p
	}
	result := p.take(request.Proven, request.Fresh, d.ProvenFor, share, time.Now())
	if result.dial && d.MaxLinks > 0 {
		d.makeRoom(p, &result)
	}
	return result
}

func (d *Dialer) waitForLink(ctx context.Context, target hemlocktally.Target, wait chan struct{}) error {
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		if p := d.pools[target.Address]; p != nil { // A pool without links is removed, also one that has just woken this request.
			p.cancelWait(wait)
		}
		return &hemlocktally.ConnError{Target: target.Name, Cause: context.Cause(ctx)}
	}
}

func (d *Dialer) open(ctx context.Context, request hemlocktally.ConnRequest) (*link, error) {
	l, err := d.dial(ctx, request.Target)
	if err != nil {
		d.update(request.Target.Address, func(p *pool) { p.releaseSlot() })
		return nil, &hemlocktally.ConnError{Target: request.Target.Name, Cause: err}
	}
	l.isNew = true
	if !l.reserve(request) {
		l.discard()
		return nil, &hemlocktally.ConnError{Target: request.Target.Name, Cause: net.ErrClosed}
	}
	return l, nil
}

// dial opens a link, which the caller has already counted in the pool.
func (d *Dialer) dial(ctx context.Context, target hemlocktally.Target) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, d.DialTimeout)
	defer cancel()
	tcpConn, err := d.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, err
	}
	resetOnClose(tcpConn)
	tracked := &trackedConn{dialer: d, Conn: validator.NewConn(tcpConn)}
	now := time.Now()
	tracked.lastRead.Store(&now) // The handshake proves the connection as a response does.
	client, err := d.transport.NewClientConn(context.WithValue(ctx, preparedConnKey{}, tracked), "http", target.Address)
	if err != nil {
		_ = tcpConn.Close()
		return nil, err
	}
	return &link{dialer: d, address: target.Address, conn: tracked, client: client}, nil
}

func (d *Dialer) update(address string, change func(*pool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[address]; p != nil {
		change(p)
	}
}

// put returns a link to its pool if it can be used again, and closes it otherwise.
// With silent, it also closes the idle links to the target that have received
// nothing since this one was taken.
func (d *Dialer) put(l *link, silent bool) {
	reusable := !silent && l.client.Available() > 0
	var toClose []*link
	d.mu.Lock()
	switch p := d.pools[l.address]; {
	case reusable && !d.closed:
		toClose = p.put(l)
	case silent:
		toClose = append(p.removeStale(l.takenAt), l)
		p.releaseSlot()
	default:
		toClose = []*link{l}
		p.releaseSlot()
	}
	d.mu.Unlock()
	closeAll(toClose)
}

// lastReceivedByAny returns when a released link to the address last received a byte.
func (d *Dialer) lastReceivedByAny(address string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[address]; p != nil {
		return p.lastReceivedByAny
	}
	return time.Time{}
}

// Links returns how many links to the address are open or being opened.
func (d *Dialer) Links(address string) int {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[address]; p != nil {
		return p.total
	}
	return 0
}

// Idle returns how many links to the address are idle.
func (d *Dialer) Idle(address string) int {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[address]; p != nil {
		return len(p.idle)
	}
	return 0
}
