// Package dialer holds the links to targets. Each link is one connection that
// carries one request at a time and never sends a request twice. A target takes
// a bounded number of connections from the whole fleet, so an instance uses
// only its share of them.
package dialer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hemlocktally"
)

const (
	provenFor    = 250 * time.Millisecond // provenFor is how long an answer proves its link.
	idleLimit    = 30 * time.Second       // idleLimit is how long a link stays open unused.
	maxIdle      = 8                      // maxIdle bounds the idle links to one target.
	dialTimeout  = 500 * time.Millisecond // dialTimeout bounds the opening of a link.
	sweepEvery   = time.Second
	warmEvery    = 100 * time.Millisecond
	warmAtOnce   = 32  // warmAtOnce bounds the links that are opened ahead in one round.
	maxWarm      = 512 // maxWarm is the number of targets above which no link is opened ahead.
	linkBufBytes = 8 << 10
	// maxAnswerHeaderBytes bounds the header of a target's answer.
	maxAnswerHeaderBytes = 256 << 10
	// shareReserve is the part of a target's connections that instances leave
	// to probes and to members that have not seen one another yet.
	shareReserve = 0.1
)

// Dialer implements hemlocktally.Linker. Its zero value works: without a
// Viewer, the instance takes itself to be the only one.
type Dialer struct {
	Viewer hemlocktally.Viewer
	// Configuration names the targets to which Run keeps a link ready; it may be
	// nil.
	Configuration hemlocktally.Configurer
	ProvenFor     time.Duration // ProvenFor is how long an answer proves its link; zero means 250 ms.
	IdleLimit     time.Duration // IdleLimit is how long a link stays open unused; zero means 30 s.
	DialTimeout   time.Duration // DialTimeout bounds the opening of a link; zero means 500 ms.
	// Dial opens a connection; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
	mu        sync.Mutex
	pools     map[string]*pool // pools are keyed by address.
	closed    bool
}

func (d *Dialer) init() {
	d.once.Do(func() {
		d.ProvenFor = cmp.Or(d.ProvenFor, provenFor)
		d.IdleLimit = cmp.Or(d.IdleLimit, idleLimit)
		d.DialTimeout = cmp.Or(d.DialTimeout, dialTimeout)
		if d.Dial == nil {
			d.Dial = (&net.Dialer{Timeout: d.DialTimeout}).DialContext
		}
		d.transport = &http.Transport{
			DisableCompression: true, DialContext: handOver,
			MaxResponseHeaderBytes: maxAnswerHeaderBytes,
			ReadBufferSize:         linkBufBytes, WriteBufferSize: linkBufBytes,
		}
		d.pools = map[string]*pool{}
	})
}

// Share returns how many links to the target this instance may hold.
func (d *Dialer) Share(target hemlocktally.Target) int {
	instances := 0
	if d.Viewer != nil {
		view := d.Viewer.View()
		instances = max(view.Instances, len(view.Serving()))
	}
	instances = max(1, instances)
	return max(1, int(float64(target.ConnectionLimit())*(1-shareReserve))/instances)
}

// Take returns a link for one request. It prefers the link that brought an
// answer last, opens a new one where that is not good enough, and waits for one
// where the share is used up.
func (d *Dialer) Take(ctx context.Context, request hemlocktally.LinkRequest) (hemlocktally.Link, error) {
	d.init()
	share := d.Share(request.Target)
	for {
		choice := d.choose(request, share)
		closeAll(choice.dropped)
		switch {
		case choice.link != nil:
			if choice.link.reserve(request) {
				return choice.link, nil
			}
			choice.link.discard()
		case choice.dial:
			return d.open(ctx, request)
		default:
			if err := d.await(ctx, request.Target, choice.wait); err != nil {
				return nil, err
			}
		}
	}
}

func (d *Dialer) choose(request hemlocktally.LinkRequest, share int) choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[request.Target.Address]
	if p == nil {
		p = &pool{}
		d.pools[request.Target.Address] = p
	}
	return p.take(request.Proven, d.ProvenFor, share, time.Now())
}

func (d *Dialer) await(ctx context.Context, target hemlocktally.Target, wait chan struct{}) error {
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		d.pools[target.Address].forget(wait)
		return &hemlocktally.LinkError{Target: target.Name, Cause: context.Cause(ctx)}
	}
}

func (d *Dialer) open(ctx context.Context, request hemlocktally.LinkRequest) (*link, error) {
	l, err := d.dial(ctx, request.Target)
	if err != nil {
		d.update(request.Target.Address, func(p *pool) { p.lost() })
		return nil, &hemlocktally.LinkError{Target: request.Target.Name, Cause: err}
	}
	l.fresh = true
	if !l.reserve(request) {
		l.discard()
		return nil, &hemlocktally.LinkError{Target: request.Target.Name, Cause: net.ErrClosed}
	}
	return l, nil
}

// dial opens a link; the pool has counted it already.
func (d *Dialer) dial(ctx context.Context, target hemlocktally.Target) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, d.DialTimeout)
	defer cancel()
	raw, err := d.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: raw}
	now := time.Now()
	conn.heard.Store(&now) // The handshake proves the connection as an answer would.
	client, err := d.transport.NewClientConn(context.WithValue(ctx, handOverKey{}, conn), "http", target.Address)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &link{dialer: d, address: target.Address, conn: conn, client: client}, nil
}

func (d *Dialer) update(address string, change func(*pool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[address]; p != nil {
		change(p)
	}
}

// put gives a link back to its pool, or closes it.
func (d *Dialer) put(l *link, silent bool) {
	reusable := !silent && l.client.Available() > 0
	var dropped []*link
	d.mu.Lock()
	switch p := d.pools[l.address]; {
	case reusable && !d.closed:
		dropped = p.put(l)
	case silent:
		dropped = append(p.dropHeardBefore(l.taken), l)
		p.lost()
	default:
		dropped = []*link{l}
		p.lost()
	}
	d.mu.Unlock()
	closeAll(dropped)
}

// heardAt returns when any link to the address last brought a byte.
func (d *Dialer) heardAt(address string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[address]; p != nil {
		return p.heardAt
	}
	return time.Time{}
}

// Links returns how many links to the address are open.
func (d *Dialer) Links(address string) int {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[address]; p != nil {
		return p.open
	}
	return 0
}

// Idle returns how many links to the address wait for a request.
func (d *Dialer) Idle(address string) int {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[address]; p != nil {
		return len(p.idle)
	}
	return 0
}
