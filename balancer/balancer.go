// Package balancer assembles an entry instance that runs on a platform: the
// platform's store holds what must last, targets register themselves there, and
// all instances are alike.
package balancer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"
	"github.com/zeebo/errs"

	"hemlocktally"
	"hemlocktally/acceptor"
	"hemlocktally/dialer"
	"hemlocktally/dispatcher"
	"hemlocktally/follower"
	"hemlocktally/logger"
	"hemlocktally/messenger"
	"hemlocktally/placer"
	"hemlocktally/prober"
	"hemlocktally/recorder"
)

// Error is the class of this package's errors.
var Error = errs.Class("balancer")

// Platform is what an instance needs of the platform that it runs on.
type Platform interface {
	hemlocktally.Interpreter
	hemlocktally.Dialect
}

// Balancer is one entry instance on a platform. Its fields are set before Run.
type Balancer struct {
	Settings  Settings
	Platform  Platform
	Directory hemlocktally.Directory
	Log       logger.Logger
	// StoreCalls counts the calls to the store by operation, for the metrics; it
	// may be nil.
	StoreCalls func() map[string]uint64
	// LinesDropped counts the log lines that were dropped; it may be nil.
	LinesDropped func() uint64

	follower *follower.Follower
	owner    *placer.Server // owner decides for the services that the instance owns.
	alone    *placer.Server // alone decides while no owner answers.
	turns    *placer.Client
	links    *dialer.Dialer
	recorder *recorder.Recorder
	callers  acceptor.Pipeline // callers serves their connections.
	leaving  atomic.Bool
	told     toldPicture
}

// Bounds of an instance's own work. Sources: the platform's pages say that
// upstreams close connections that are idle for ten seconds, and that readiness
// is asked for once a second.
const (
	coldShare       = 0.8                     // coldShare of a cold target's rate is used, so that two owners at once stay within the slack.
	linkProvenFor   = 5 * time.Second         // linkProvenFor is how long an answer proves a link to a target.
	linkIdleLimit   = 8 * time.Second         // linkIdleLimit is less than the time after which targets close idle connections.
	linkDialTimeout = 100 * time.Millisecond  // linkDialTimeout bounds a new connection to a target.
	peerIdleTime    = 30 * time.Second        // peerIdleTime is how long an idle connection to another instance is kept.
	probeIdleTime   = linkIdleLimit           // probeIdleTime is how long a connection for questions about load is kept.
	headerTimeout   = 3 * time.Second         // headerTimeout bounds the reading of a caller's header.
	callerIdleTime  = time.Minute             // callerIdleTime is how long an idle caller's connection is kept.
	maxHeaderBytes  = 32 << 10                // maxHeaderBytes bounds a caller's header.
	bodyLimit       = 64 << 20                // bodyLimit bounds a caller's body where the configuration names no limit.
	holdBack        = 256 << 10               // holdBack is how much of an answer is held until it is whole.
	settleTime      = 2200 * time.Millisecond // settleTime is how long new calls come after an instance is no longer ready.
	epochLength     = 8                       // epochLength is how much of the incarnation's random part tells turns of two lives apart; each turn names it.
	stopReserve     = 500 * time.Millisecond  // stopReserve is kept of the time for a planned stop.
)

// Run serves until the context ends, then stops gracefully.
func (b *Balancer) Run(ctx context.Context) error {
	b.assemble()
	listeners, err := b.listen()
	if err != nil {
		return err
	}
	s := b.Settings
	b.Log.Log(logger.EventStarted, logger.Fields{
		"Instance": s.Instance.ID, "Zone": s.Instance.Zone, "Callers": s.Listen.Callers, "Peers": s.Listen.Peers, "Operators": s.Listen.Metrics,
	})
	defer b.Log.Log(logger.EventStopped, logger.Fields{"Instance": s.Instance.ID})
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	group.Add(func() error { return b.serveCallers(ctx, listeners.callers) }, func(error) {})
	for _, task := range []func(context.Context) error{
		b.follower.Run, b.owner.Run, b.alone.Run, b.links.Run,
		func(ctx context.Context) error { return serve(ctx, listeners.ready, plainServer(b.readiness())) },
		func(ctx context.Context) error { return b.servePeers(ctx, listeners.peers) },
		func(ctx context.Context) error { return serve(ctx, listeners.metrics, plainServer(b.metricsHandler())) },
	} {
		group.Add(func() error { return task(inner) }, func(error) { cancel() })
	}
	return Error.Wrap(group.Run())
}

// assemble makes the parts.
func (b *Balancer) assemble() {
	s := b.Settings
	incarnation := ulid.Make().String()
	epoch := incarnation[len(incarnation)-epochLength:]
	self := hemlocktally.InstanceID(s.Instance.ID)
	off, _ := hemlocktally.ParseMechanisms(s.Policy.Off) // Check has read it.
	b.recorder = &recorder.Recorder{}
	peers := &http.Client{Transport: messenger.Bounded(peerTransport())}
	b.follower = &follower.Follower{
		Directory: b.Directory, Interpreter: b.Platform, Log: b.Log, Changed: b.pictureChanged, HTTP: peers, Off: off,
		Self: follower.Hub{
			ID: self, Incarnation: incarnation, Zone: hemlocktally.ZoneName(s.Instance.Zone), PeerAddress: s.Listen.Peers, Weight: s.Instance.Weight,
		},
	}
	b.follower.Prepare()
	loads := &prober.LoadProber{Dialect: b.Platform, HTTP: &http.Client{Transport: transport(1, probeIdleTime, longestDial)}}
	bounds := placer.Bounds{
		RetryRatio: s.Bounds.RetryRatio, RetryWindow: s.Bounds.RetryWindow, RetrySlack: s.Bounds.RetrySlack,
		ColdShare: coldShare, ProbesPerSecond: s.Bounds.ProbesPerSecond, Off: off,
	}
	b.owner = &placer.Server{Self: self, Epoch: epoch, Bounds: bounds, Loads: loads, Log: b.Log, Needed: b.follower.NeedTargets, Known: b.follower.TargetsKnown}
	// An instance that decides alone is one of many: it keeps to a small part of
	// the fleet's budget and leaves cold targets to the owner.
	bounds.ColdShare, bounds.RetryRatio = 0, bounds.RetryRatio/2
	b.alone = &placer.Server{Self: self, Epoch: epoch + "A", Bounds: bounds, Loads: loads, Log: b.Log, Needed: b.follower.NeedTargets, Known: b.follower.TargetsKnown, Alone: true}
	b.turns = &placer.Client{
		Self: self, Zone: hemlocktally.ZoneName(s.Instance.Zone), Epoch: epoch, View: b.follower, Server: b.owner, Alone: b.alone,
		HTTP: peers, Log: b.Log, NeedTargets: b.follower.NeedTargets, Off: off,
	}
	b.links = &dialer.Dialer{
		Viewer: b.follower, ProvenFor: linkProvenFor, IdleLimit: linkIdleLimit, DialTimeout: linkDialTimeout, Dial: dial,
	}
	b.prepareEntry()
	if off.Has(hemlocktally.MechanismReadAhead) {
		b.callers.Depth = 1
	}
}

// NoteGeneration takes in the store's generation, as each of its answers names it. It
// returns an error for an answer of an earlier one.
func (b *Balancer) NoteGeneration(named hemlocktally.StoreGeneration) error {
	return b.follower.NoteGeneration(named)
}

// toldPicture is what the owners were told last.
type toldPicture struct {
	version, targets uint64
	instances        int
}

// pictureChanged tells the owners what the follower saw.
func (b *Balancer) pictureChanged(p *follower.Picture) {
	instances := b.follower.View().Instances
	seen := toldPicture{version: p.Version, targets: p.TargetsVersion, instances: instances}
	if seen == b.told {
		return // Only the age of what is known has changed.
	}
	b.told = seen
	out := map[hemlocktally.ZoneName]bool{}
	for _, zone := range p.Configuration.Zones {
		out[zone.Name] = zone.Out
	}
	services := make(map[hemlocktally.ServiceName]placer.TargetsMsg, len(p.Targets))
	for name, targets := range p.Targets {
		services[name] = placer.TargetsMsg{Targets: targets, Out: out, Revision: p.Configuration.Revision, Instances: instances}
	}
	for _, service := range p.Configuration.Services {
		msg := services[service.Name]
		msg.Service, msg.Out, msg.Revision, msg.Instances = service, out, p.Configuration.Revision, instances
		services[service.Name] = msg
	}
	b.alone.Configure(services)
	b.owner.Configure(services)
}

// listeners are the sockets of an instance.
type listeners struct {
	callers, ready, peers, metrics net.Listener
}

func (b *Balancer) listen() (listeners, error) {
	var l listeners
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.callers, b.Settings.Listen.Callers},
		{&l.ready, b.Settings.Listen.Ready},
		{&l.peers, b.Settings.Listen.Peers},
		{&l.metrics, b.Settings.Listen.Metrics},
	} {
		if open.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", open.address)
		if err != nil {
			return l, Error.Wrap(err)
		}
		*open.listener = acceptor.Listener{Listener: listener}
	}
	return l, nil
}

func plainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTime}
}

// serve answers on a listener until the context ends. Without a listener it
// only waits.
func serve(ctx context.Context, listener net.Listener, server *http.Server) error {
	if listener == nil {
		<-ctx.Done()
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ready reports whether the platform's balancer may send new calls here.
func (b *Balancer) Ready() bool {
	return !b.leaving.Load() && b.follower.Informed()
}

func (b *Balancer) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !b.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// prepareEntry readies the entry path.
func (b *Balancer) prepareEntry() {
	entry := &dispatcher.Dispatcher{
		Self: hemlocktally.InstanceID(b.Settings.Instance.ID), Configuration: b.follower, Starting: b.follower, Granter: b.turns, Recorder: b.recorder,
		Links: b.links, Log: b.Log, Dialect: b.Platform, BodyLimit: bodyLimit, HoldBack: holdBack,
	}
	b.callers.Handler, b.callers.Idempotent, b.callers.Log = entry, entry.Idempotent, b.Log
	b.callers.Depth, b.callers.Bytes = b.Settings.Callers.PipelineDepth, b.Settings.Callers.PipelineBytes
}
