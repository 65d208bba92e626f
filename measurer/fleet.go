// Package measurer measures the control of a fleet by itself: membership,
// configuration and the calls of the store, on real sockets of loopback between
// instances that serve no calls.
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

// Fleet is some instances that only take part in control, around a stand-in
// platform.
type Fleet struct {
	Platform  *imitator.Platform
	Instances []*Instance

	storeURL string
	started  int
	cancel   context.CancelFunc
	around   sync.WaitGroup
}

// Instance is one member of a Fleet.
type Instance struct {
	Registrar    *registrar.Registrar
	Configurator *configurator.Configurator
	Store        *storer.Client

	server    *http.Server
	transport *http.Transport
	crashed   atomic.Bool
	peers     counter
	platform  counter
	cancel    context.CancelFunc
	ended     sync.WaitGroup
}

// counter counts the bytes of the sockets of one kind, with all headers.
type counter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

type countedConn struct {
	net.Conn
	counter *counter
}

// Read counts what it reads.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	counter *counter
}

// Accept returns a counted connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.counter}, nil
}

const (
	zones        = 3
	startTimeout = 30 * time.Second
	pollPause    = 2 * time.Millisecond
)

// Start runs a fleet of the given size and returns once all know one another.
// They serve once a first configuration is in force.
func Start(ctx context.Context, count int, seed uint64) (*Fleet, error) {
	around, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{Platform: &imitator.Platform{Seed: seed}, cancel: cancel}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, Error.Wrap(err)
	}
	f.storeURL = "http://" + listener.Addr().String()
	f.around.Go(func() { _ = f.Platform.Serve(around, listener) })
	for range count {
		if _, err := f.Add(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	err = Await(ctx, startTimeout, func() bool { return f.met(count) })
	if err != nil {
		f.Stop()
	}
	return f, err
}

// Add starts one more instance.
func (f *Fleet) Add() (*Instance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	number := f.started
	f.started++
	i := &Instance{}
	self := hemlocktally.Instance{
		ID:          hemlocktally.InstanceID(fmt.Sprintf("entry-%03d", number+1)),
		Incarnation: ulid.Make().String(),
		Zone:        hemlocktally.ZoneName(fmt.Sprintf("zone-%d", number%zones)),
		PeerAddress: listener.Addr().String(),
		State:       hemlocktally.InstanceServing,
	}
	i.assemble(f.storeURL, self, uint64(number)+1)
	f.Platform.List(imitator.ListedInstance{Name: string(self.ID), Zone: string(self.Zone), Address: self.PeerAddress})
	mux := http.NewServeMux()
	mux.Handle(messenger.MembershipPathPrefix, messenger.NewMembershipServer(i.Registrar))
	mux.Handle(messenger.ConfigurationPathPrefix, messenger.NewConfigurationServer(i.Configurator))
	i.server = &http.Server{Handler: mux, ReadHeaderTimeout: startTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.ended.Go(func() { _ = i.server.Serve(&countedListener{Listener: listener, counter: &i.peers}) })
	i.ended.Go(func() { _ = i.Registrar.Run(ctx) })
	i.ended.Go(func() { _ = i.Configurator.Run(ctx) })
	f.Instances = append(f.Instances, i)
	return i, nil
}

var errCrashed = errors.New("the instance has crashed")

func (i *Instance) assemble(store string, self hemlocktally.Instance, seed uint64) {
	i.transport = &http.Transport{DialContext: i.dial(&i.peers), MaxIdleConnsPerHost: 2}
	i.Store = &storer.Client{Base: store, HTTP: &http.Client{Transport: &http.Transport{DialContext: i.dial(&i.platform), MaxIdleConnsPerHost: 4}}}
	client := &http.Client{Transport: i.transport}
	i.Configurator = &configurator.Configurator{Store: i.Store, Self: self.ID, HTTP: client}
	i.Registrar = &registrar.Registrar{
		Store: i.Store, Self: self, Configuration: i.Configurator, Acting: i.Configurator.Acting,
		HTTP: client, InstanceList: store, Seed: seed, Sized: i.Store.SetMembers,
	}
	i.Configurator.Members = i.Registrar
}

// dial opens counted connections until the instance has crashed.
func (i *Instance) dial(to *counter) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if i.crashed.Load() {
			return nil, errCrashed
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: to}, nil
	}
}

// Crash cuts the instance off from everybody at once, without a word.
func (i *Instance) Crash() {
	i.crashed.Store(true)
	_ = i.server.Close()
	i.transport.CloseIdleConnections()
	i.Store.HTTP.CloseIdleConnections()
}

// Stop ends the instance as a planned stop does.
func (i *Instance) Stop() {
	i.cancel()
	_ = i.server.Close()
	i.ended.Wait()
	i.transport.CloseIdleConnections()
	i.Store.HTTP.CloseIdleConnections()
}

// Stop ends the fleet.
func (f *Fleet) Stop() {
	var stopped sync.WaitGroup
	for _, i := range f.Instances {
		stopped.Go(i.Stop)
	}
	stopped.Wait()
	f.cancel()
	f.around.Wait()
}

// live returns the instances that have not crashed.
func (f *Fleet) live() []*Instance {
	var live []*Instance
	for _, i := range f.Instances {
		if !i.crashed.Load() {
			live = append(live, i)
		}
	}
	return live
}

// met reports whether every instance knows so many members.
func (f *Fleet) met(members int) bool {
	for _, i := range f.Instances {
		if len(i.Registrar.View().Members) != members {
			return false
		}
	}
	return true
}

// agreed reports whether every live instance takes just so many for serving.
func (f *Fleet) agreed(serving int) bool {
	for _, i := range f.live() {
		if len(i.Registrar.View().Serving()) != serving {
			return false
		}
	}
	return true
}

// inForce reports whether every live instance has at least the revision.
func (f *Fleet) inForce(revision hemlocktally.Revision) bool {
	for _, i := range f.live() {
		if i.Configurator.Current().Revision < revision {
			return false
		}
	}
	return true
}

// Await polls until the condition holds.
func Await(ctx context.Context, limit time.Duration, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds() {
		timer := time.NewTimer(pollPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Error.New("not reached within %s", limit)
		}
	}
	return nil
}
