// Package balancer assembles an entry instance that runs on a platform. The
// platform's store holds all persistent state, targets register themselves there,
// and all instances are equal.
package balancer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
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
	"hemlocktally/forwarder"
	"hemlocktally/limiter"
	"hemlocktally/logger"
	"hemlocktally/messenger"
	"hemlocktally/monitor"
	"hemlocktally/placer"
	"hemlocktally/prober"
	"hemlocktally/promoter"
	"hemlocktally/quarantiner"
	"hemlocktally/recorder"
	"hemlocktally/reserver"
)

// Error is the class of this package's errors.
var Error = errs.Class("balancer")

// Platform decodes the store's entries and the headers of the platform that an
// instance runs on.
type Platform interface {
	hemlocktally.EntryDecoder
	hemlocktally.HeaderCodec
}

// Balancer is one entry instance on a platform. Its exported fields must be set
// before Run is called.
type Balancer struct {
	Settings  Settings
	Platform  Platform
	Directory hemlocktally.Directory
	Log       logger.Logger
	// StoreCalls returns the number of calls to the store by operation, for the
	// metrics; it may be nil.
	StoreCalls func() map[string]uint64
	// LinesDropped returns the number of log lines that were dropped; it may be nil.
	LinesDropped func() uint64
	// DialTarget opens connections to targets; nil means TCP with keep-alive probes.
	DialTarget func(ctx context.Context, network, address string) (net.Conn, error)

	follower   *follower.Follower
	owner      *placer.Server // owner decides for the services that the instance owns.
	fallback   *placer.Server // fallback decides while no owner responds.
	granter    *placer.Client
	quotas     *limiter.Limiter // quotas counts customers' calls to the services that the instance owns.
	alone      *limiter.Alone   // alone counts them while no owner responds.
	suspects   *quarantiner.Quarantiner
	keeper     *quarantiner.Keeper
	monitor    *monitor.Monitor
	forwarder  *forwarder.Forwarder
	dialer     *dialer.Dialer
	recorder   *recorder.Recorder
	dispatcher dispatcher.Dispatcher
	pipeline   acceptor.Pipeline // pipeline serves the callers' connections.
	reserver   reserver.Reserver // reserver bounds what callers make the instance hold.
	leaving    atomic.Bool
	closesAt   atomic.Pointer[time.Time] // closesAt is when a stopping instance closes its callers' connections.
	configured pictureVersion            // configured is what owner and fallback were last configured with.
}

// Limits of an instance's own work. According to the platform's documentation,
// upstreams close connections that are idle for ten seconds, and readiness is
// polled once a second.
const (
	coldShare         = 0.8                     // coldShare is the share of a cold target's rate that is used, so that two owners at once stay within the slack.
	connProvenFor     = 5 * time.Second         // connProvenFor is how long a response proves that a connection to a target works.
	connIdleLimit     = 8 * time.Second         // connIdleLimit is less than the time after which targets close idle connections.
	connDialTimeout   = 100 * time.Millisecond  // connDialTimeout limits how long a connection to a target may take to open.
	peerIdleTimeout   = 30 * time.Second        // peerIdleTimeout is how long an idle connection to another instance is kept.
	probeIdleTimeout  = connIdleLimit           // probeIdleTimeout is how long an idle connection for load probes is kept.
	headerTimeout     = 3 * time.Second         // headerTimeout limits the time for reading a caller's header.
	callerIdleTimeout = time.Minute             // callerIdleTimeout is how long a caller's idle connection is kept.
	maxHeaderBytes    = 32 << 10                // maxHeaderBytes limits a caller's header if the configuration has no limit.
	maxAnyHeaderBytes = 1 << 20                 // maxAnyHeaderBytes is the most that a configuration may allow.
	maxPeerHeadBytes  = 256 << 10               // maxPeerHeadBytes limits the header of a call from another instance; HTTP/2 counts 32 bytes more for each line.
	maxPeerBodyBytes  = 8 << 20                 // maxPeerBodyBytes limits a message from another instance.
	maxBodyBytes      = 64 << 20                // maxBodyBytes limits a caller's body if the configuration has no limit.
	holdBackBytes     = 256 << 10               // holdBackBytes is how much of a response is buffered until it is complete.
	drainDelay        = 2200 * time.Millisecond // drainDelay is how long new calls still arrive after an instance has stopped being ready.
	epochLength       = 8                       // epochLength is how many characters of the incarnation's random part each grant ID contains, to distinguish incarnations.
	interruptTime     = 250 * time.Millisecond  // interruptTime is how long the refusals of calls may take that are interrupted; less than stopReserve.
	stopReserve       = 500 * time.Millisecond  // stopReserve is the part of StopTimeout that is kept in reserve.
)

// Run serves until the context ends, then stops gracefully. It returns an error
// if a listener can't be opened or a server fails.
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
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	group.Add(func() error { return b.serveCallers(ctx, listeners.callers) }, func(error) {})
	for _, task := range []func(context.Context) error{
		b.follower.Run, b.owner.Run, b.fallback.Run, b.dialer.Run, b.monitor.Run, b.keeper.Run, b.quotas.Run,
		func(ctx context.Context) error {
			return serve(ctx, b.limitConnections(listeners.ready), plainServer(b.readyHandler()))
		},
		func(ctx context.Context) error { return b.servePeers(ctx, listeners.peers) },
		func(ctx context.Context) error {
			return serve(ctx, b.limitConnections(listeners.metrics), plainServer(b.operatorHandler()))
		},
	} {
		group.Add(func() error { return task(taskCtx) }, func(error) { cancel() })
	}
	return Error.Wrap(group.Run())
}

// assemble creates the components.
func (b *Balancer) assemble() {
	s := b.Settings
	incarnation := ulid.Make().String()
	epoch := incarnation[len(incarnation)-epochLength:]
	self := hemlocktally.InstanceID(s.Instance.ID)
	off, _ := hemlocktally.ParseMechanisms(s.Policy.Off) // Settings.Check has validated it.
	b.recorder = &recorder.Recorder{}
	peers := &http.Client{Transport: messenger.LimitResponses(peerRoundTripper())}
	b.follower = &follower.Follower{
		Directory: b.Directory, Interpreter: b.Platform, Log: b.Log, Heartbeat: s.Platform.Heartbeat, OnChange: b.applyPicture, HTTP: peers, Disabled: off,
		Self: follower.Hub{
			ID: self, Incarnation: incarnation, Zone: hemlocktally.ZoneName(s.Instance.Zone), PeerAddress: s.Listen.Peers, Weight: s.Instance.Weight,
		},
	}
	b.follower.Prepare()
	b.keeper = &quarantiner.Keeper{Directory: b.Directory, Key: b.Platform.HeldRequestKey, IsHub: b.follower.IsHub, Log: b.Log}
	b.keeper.Prepare()
	b.suspects = &quarantiner.Quarantiner{Self: self, View: b.follower, HTTP: peers, Log: b.Log, Disabled: off, Keeper: b.keeper}
	b.follower.Suspects = b.suspects
	if b.DialTarget == nil {
		b.DialTarget = dial
	}
	b.dialer = &dialer.Dialer{
		Viewer: b.follower, ProvenFor: connProvenFor, IdleLimit: connIdleLimit, DialTimeout: connDialTimeout, Dial: b.DialTarget, MaxLinks: b.Settings.targetConnections(),
	}
	b.monitor = &monitor.Monitor{Reach: b.dialer.Reach, Listed: b.listedTargets, Log: b.Log}
	b.follower.Isolated = func() bool { return b.monitor.IsolatedServices() > 0 }
	b.forwarder = &forwarder.Forwarder{Self: self, Zone: hemlocktally.ZoneName(s.Instance.Zone), View: b.follower, Helpers: b.follower.Helpers, HTTP: peerRoundTripper(), Log: b.Log}
	b.setUpQuotas(incarnation, peers)
	loadProber := &prober.LoadProber{Dialect: b.Platform, HTTP: &http.Client{Transport: probeTransport(b.DialTarget)}}
	bounds := placer.Bounds{
		RetryRatio: s.Bounds.RetryRatio, RetryWindow: s.Bounds.RetryWindow, RetrySlack: s.Bounds.RetrySlack,
		ColdShare: coldShare, ProbesPerSecond: s.Bounds.ProbesPerSecond, Disabled: off,
		PricePerMB: s.Zones.PricePerMB, ZoneDelay: s.Zones.Delay,
		Rollouts: promoter.Bounds{Share: s.Rollouts.ExposureShare, Slack: s.Rollouts.ExposureSlack, RollbackDelay: s.Rollouts.RollbackDelay},
	}
	b.follower.Rollouts = bounds.Rollouts.Enabled()
	writer := &promoter.Writer{Directory: b.Directory, Names: b.Platform, Log: b.Log}
	b.owner = &placer.Server{Self: self, Epoch: epoch, Bounds: bounds, Prober: loadProber, Log: b.Log, RequestTargets: b.follower.NeedTargets, TargetsRead: b.follower.TargetsFreshness, Rollouts: writer.Execute, View: b.follower, Superseded: b.follower.Superseded, Suspects: b.suspects, Monitor: b.monitor, Quotas: b.quotas}
	// Many instances may decide without the owner at the same time, so each uses
	// only a small part of the fleet's budget and leaves cold targets to the owner.
	bounds.ColdShare, bounds.RetryRatio = 0, bounds.RetryRatio/2
	b.fallback = &placer.Server{Self: self, Epoch: epoch + "A", Bounds: bounds, Prober: loadProber, Log: b.Log, RequestTargets: b.follower.NeedTargets, TargetsRead: b.follower.TargetsFreshness, Alone: true, Suspects: b.suspects, Monitor: b.monitor, Quotas: b.alone}
	b.granter = &placer.Client{
		Self: self, Zone: hemlocktally.ZoneName(s.Instance.Zone), Epoch: epoch, View: b.follower, Server: b.owner, Alone: b.fallback,
		HTTP: peers, Log: b.Log, RequestTargets: b.follower.NeedTargets, Suspects: b.suspects, Monitor: b.monitor, Disabled: off, Quotas: b.alone,
	}
	b.setUpDispatcher()
	b.dispatcher.EarlyHedges = !off.Has(hemlocktally.MechanismSpillover)
	if off.Has(hemlocktally.MechanismReadAhead) {
		b.pipeline.MaxConcurrent = 1
	}
}

// listedTargets returns the targets of a service that this instance has listed; it may have no
// list.
func (b *Balancer) listedTargets(service hemlocktally.ServiceName) []hemlocktally.Target {
	registrations := b.follower.FleetState().Targets[service]
	targets := make([]hemlocktally.Target, 0, len(registrations))
	for _, r := range registrations {
		targets = append(targets, r.Target)
	}
	return targets
}

// NoteGeneration records the store's generation, which each of its responses
// carries. It returns a *follower.StaleGenerationError for a response of an earlier
// generation.
func (b *Balancer) NoteGeneration(named hemlocktally.StoreGeneration) error {
	return b.follower.ObserveGeneration(named)
}

// pictureVersion identifies the parts of a picture that the placer servers use.
type pictureVersion struct {
	version, targets, rollouts uint64
	instances                  int
}

// applyPicture configures the placer servers with a new picture of the follower.
func (b *Balancer) applyPicture(p *follower.FleetState) {
	instances := b.follower.View().Instances
	current := pictureVersion{version: p.RelayedVersion, targets: p.TargetsVersion, rollouts: p.RolloutsVersion, instances: instances}
	if current == b.configured {
		return // Only the age of the data has changed.
	}
	b.configured = current
	b.quotas.Configure(p.Configuration.Customers)
	b.alone.Configure(p.Configuration.Customers, instances)
	services := placedServices(p, instances)
	b.fallback.Configure(services)
	b.owner.Configure(services)
}

// placedServices returns the targets that the placer servers may use. It is empty until the
// operators' entries are known: targets read before them may be in a zone that is out of
// service.
func placedServices(p *follower.FleetState, instances int) map[hemlocktally.ServiceName]placer.TargetsMsg {
	if p.Configuration.Revision == 0 {
		return nil
	}
	out := map[hemlocktally.ZoneName]bool{}
	for _, zone := range p.Configuration.Zones {
		out[zone.Name] = zone.Out
	}
	services := make(map[hemlocktally.ServiceName]placer.TargetsMsg, len(p.Targets))
	spillover := p.Configuration.WeighsZones()
	for name, targets := range p.Targets {
		services[name] = placer.TargetsMsg{Targets: targets, Out: out, Revision: p.Configuration.Revision, Instances: instances, Spillover: spillover, Customers: p.Configuration.Customers}
	}
	for _, service := range p.Configuration.Services {
		msg := services[service.Name]
		msg.Service, msg.Out, msg.Revision, msg.Instances = service, out, p.Configuration.Revision, instances
		msg.Spillover, msg.LargeResponses = spillover, largeResponses(p.Configuration.Contracts, service.Name)
		msg.Customers = p.Configuration.Customers
		services[service.Name] = msg
	}
	for name, rollout := range p.Rollouts {
		msg := services[name]
		msg.Rollout, msg.Out, msg.Revision, msg.Instances = rollout, out, p.Configuration.Revision, instances
		services[name] = msg
	}
	return services
}

// largeResponses returns the names of the service's contracts with large responses.
func largeResponses(contracts []hemlocktally.Contract, service hemlocktally.ServiceName) []hemlocktally.ContractName {
	var names []hemlocktally.ContractName
	for _, contract := range contracts {
		splits := slices.ContainsFunc(contract.Split, func(share hemlocktally.ServiceShare) bool { return share.Service == service })
		if contract.LargeResponses && (contract.Service == service || splits) {
			names = append(names, contract.Name)
		}
	}
	return names
}

// listeners holds the listening sockets of an instance; those without an address
// are nil.
type listeners struct {
	callers, ready, peers, metrics net.Listener
}

func (b *Balancer) listen() (listeners, error) {
	var l listeners
	for _, spec := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.callers, b.Settings.Listen.Callers},
		{&l.ready, b.Settings.Listen.Ready},
		{&l.peers, b.Settings.Listen.Peers},
		{&l.metrics, b.Settings.Listen.Metrics},
	} {
		if spec.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", spec.address)
		if err != nil {
			return l, Error.Wrap(err)
		}
		*spec.listener = acceptor.Listener{Listener: listener}
	}
	return l, nil
}

func plainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serve runs the server on a listener until the context ends. Without a listener
// it only waits.
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

// Ready reports whether the platform's load balancer may send new calls to this
// instance.
func (b *Balancer) Ready() bool {
	return !b.leaving.Load() && b.follower.Ready()
}

func (b *Balancer) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !b.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// setUpDispatcher sets up the dispatcher and the pipeline that serve callers.
func (b *Balancer) setUpDispatcher() {
	b.dispatcher = dispatcher.Dispatcher{
		InstanceID: hemlocktally.InstanceID(b.Settings.Instance.ID), Configuration: b.follower, FirstConfiguration: b.follower, Granter: b.granter, Recorder: b.recorder,
		Links: b.dialer, CrashDetector: b.dialer, Reachability: b.monitor, Forwarder: b.forwarder, StopsAt: b.stopsAt, Quarantine: b.suspects, Log: b.Log, Dialect: b.Platform, BodyLimit: maxBodyBytes, BufferLimit: holdBackBytes,
	}
	b.pipeline.Handler, b.pipeline.Idempotent, b.pipeline.Log = &b.dispatcher, b.dispatcher.Idempotent, b.Log
	b.setUpReserver()
	b.pipeline.MaxConcurrent, b.pipeline.MaxReadAheadBytes = b.Settings.Callers.PipelineDepth, b.Settings.Callers.PipelineBytes
}
