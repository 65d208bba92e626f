// Package measurer measures the control plane of a fleet: membership, configuration
// and store calls. It runs instances that serve no calls and talk to one another
// over loopback sockets.
package measurer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/zeebo/errs"

	"hemlocktally"
	"hemlocktally/configurator"
	"hemlocktally/imitator"
	"hemlocktally/messenger"
	"hemlocktally/registrar"
	"hemlocktally/storer"
)

// Error is the class of this package's errors.
var Error = errs.Class("measurer")

// Fleet is a set of instances that run only the control plane, with a simulated
// platform. Instances includes crashed ones.
type Fleet struct {
	Platform  *imitator.Platform
	Instances []*Instance

	storeURL   string
	started    int
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Instance is one member of a Fleet.
type Instance struct {
	Registrar    *registrar.Registrar
	Configurator *configurator.Configurator
	Store        *storer.Client

	server       *http.Server
	transport    *http.Transport
	crashed      atomic.Bool
	peerTraffic  byteCounter
	storeTraffic byteCounter
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

// byteCounter counts the bytes of a group of connections, including all HTTP
// headers.
type byteCounter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read reads and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	counter *byteCounter
}

// Accept returns a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counter: l.counter}, nil
}

const (
	zoneCount    = 3
	startTimeout = 30 * time.Second
	pollInterval = 2 * time.Millisecond
)

// Start starts a fleet of the given size and returns it once every instance knows
// all others. The instances begin to serve once a first configuration is in force.
// The fleet outlives the context; the caller ends it with Stop. On an error nothing
// is left running.
func Start(ctx context.Context, count int, seed uint64) (*Fleet, error) {
	platformCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{Platform: &imitator.Platform{Seed: seed}, cancel: cancel}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, Error.Wrap(err)
	}
	f.storeURL = "http://" + listener.Addr().String()
	f.background.Go(func() { _ = f.Platform.Serve(platformCtx, listener) })
	for range count {
		if _, err := f.Add(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	err = WaitFor(ctx, startTimeout, func() bool { return f.allSeeMembers(count) })
	if err != nil {
		f.Stop()
	}
	return f, err
}

// Add starts one more instance and appends it to Instances. It doesn't wait for the
// others to know it.
func (f *Fleet) Add() (*Instance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	index := f.started
	f.started++
	i := &Instance{}
	self := hemlocktally.Instance{
		ID:          hemlocktally.InstanceID(fmt.Sprintf("entry-%03d", index+1)),
		Incarnation: ulid.Make().String(),
		Zone:        hemlocktally.ZoneName(fmt.Sprintf("zone-%d", index%zoneCount)),
		PeerAddress: listener.Addr().String(),
		State:       hemlocktally.InstanceServing,
	}
	i.assemble(f.storeURL, self, uint64(index)+1)
	f.Platform.List(imitator.ListedInstance{Name: string(self.ID), Zone: string(self.Zone), Address: self.PeerAddress})
	mux := http.NewServeMux()
	mux.Handle(messenger.MembershipPathPrefix, messenger.NewMembershipServer(i.Registrar))
	mux.Handle(messenger.ConfigurationPathPrefix, messenger.NewConfigurationServer(i.Configurator))
	i.server = &http.Server{Handler: mux, ReadHeaderTimeout: startTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.running.Go(func() { _ = i.server.Serve(&countingListener{Listener: listener, counter: &i.peerTraffic}) })
	i.running.Go(func() { _ = i.Registrar.Run(ctx) })
	i.running.Go(func() { _ = i.Configurator.Run(ctx) })
	f.Instances = append(f.Instances, i)
	return i, nil
}

var errCrashed = errors.New("the instance has crashed")

func (i *Instance) assemble(storeURL string, self hemlocktally.Instance, seed uint64) {
	i.transport = &http.Transport{DialContext: i.dial(&i.peerTraffic), MaxIdleConnsPerHost: 2}
	i.Store = &storer.Client{BaseURL: storeURL, HTTP: &http.Client{Transport: &http.Transport{DialContext: i.dial(&i.storeTraffic), MaxIdleConnsPerHost: 4}}}
	client := &http.Client{Transport: i.transport}
	i.Configurator = &configurator.Configurator{Store: i.Store, Self: self.ID, HTTP: client}
	i.Registrar = &registrar.Registrar{
		Store: i.Store, Self: self, Configuration: i.Configurator, ActiveRevision: i.Configurator.ActingRevision,
		HTTP: client, InstanceList: storeURL, Seed: seed, OnSizeChange: i.Store.SetFleetSize,
	}
	i.Configurator.Members = i.Registrar
}

// dial returns a dial function whose connections are counted and which fails once
// the instance has crashed.
func (i *Instance) dial(counter *byteCounter) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if i.crashed.Load() {
			return nil, errCrashed
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, counter: counter}, nil
	}
}

// Crash disconnects the instance abruptly: it closes its server and fails all later
// dials, without telling any peer.
func (i *Instance) Crash() {
	i.crashed.Store(true)
	_ = i.server.Close()
	i.transport.CloseIdleConnections()
	i.Store.HTTP.CloseIdleConnections()
}

// Stop ends the instance as a planned stop does and waits for its goroutines.
func (i *Instance) Stop() {
	i.cancel()
	_ = i.server.Close()
	i.running.Wait()
	i.transport.CloseIdleConnections()
	i.Store.HTTP.CloseIdleConnections()
}

// Stop stops all instances and the simulated platform, and waits for them.
func (f *Fleet) Stop() {
	var stopping sync.WaitGroup
	for _, i := range f.Instances {
		stopping.Go(i.Stop)
	}
	stopping.Wait()
	f.cancel()
	f.background.Wait()
}

// liveInstances returns the instances that have not crashed.
func (f *Fleet) liveInstances() []*Instance {
	var instances []*Instance
	for _, i := range f.Instances {
		if !i.crashed.Load() {
			instances = append(instances, i)
		}
	}
	return instances
}

// allSeeMembers reports whether the view of every instance has exactly the given
// number of members.
func (f *Fleet) allSeeMembers(members int) bool {
	for _, i := range f.Instances {
		if len(i.Registrar.View().Members) != members {
			return false
		}
	}
	return true
}

// allSeeServing reports whether every live instance sees exactly the given number of
// serving instances.
func (f *Fleet) allSeeServing(serving int) bool {
	for _, i := range f.liveInstances() {
		if len(i.Registrar.View().Serving()) != serving {
			return false
		}
	}
	return true
}

// allHaveRevision reports whether every live instance has the revision or a later
// one.
func (f *Fleet) allHaveRevision(revision hemlocktally.Revision) bool {
	for _, i := range f.liveInstances() {
		if i.Configurator.Current().Revision < revision {
			return false
		}
	}
	return true
}

// WaitFor polls every 2 ms until the condition holds. It returns an error where the
// timeout passes or the context ends before.
func WaitFor(ctx context.Context, timeout time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Error.New("condition not met within %s", timeout)
		}
	}
	return nil
}
