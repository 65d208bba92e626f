// Package experimenter runs whole fleets on loopback: real daemons between
// stand-in callers, targets and platform. The demo and the bench are built of
// it.
package experimenter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"hemlocktally"
	"hemlocktally/imitator"
	"hemlocktally/loader"
	"hemlocktally/logger"
	"hemlocktally/runner"
)

// Error is the class of this package's errors.
var Error = errs.Class("experimenter")

// Deployment describes a fleet and what stands around it.
type Deployment struct {
	Name      string
	Zones     []hemlocktally.ZoneName
	Instances int
	Services  []DeployedService
	Contracts []hemlocktally.Contract
	Callers   []hemlocktally.Caller
	Policy    string
	Seed      uint64
	Log       logger.Logger // Log takes the events of all instances.
}

// DeployedService is a service with the number of its targets, which are
// spread over the zones in turn.
type DeployedService struct {
	Name           hemlocktally.ServiceName
	Targets        int
	MaxConnections int
	Mean           time.Duration
	Sigma          float64 // Sigma is the spread of the times; zero means the stand-in's default.
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Platform   *imitator.Platform
	Daemons    []*runner.Daemon
	Targets    map[string]*imitator.Target // Targets are keyed by service/target.
	StoreURL   string

	cancelAround context.CancelFunc
	around       sync.WaitGroup
	stops        []context.CancelFunc
	daemons      sync.WaitGroup
	mu           sync.Mutex
	failures     []error
	crashed      map[int]bool
}

// The keys that instances and operators of an experiment use.
const (
	PeerKey     = "experiment-peer-key"
	OperatorKey = "experiment-operator-key"
)

// NonIdempotentWork starts the name of work that must not run twice.
const NonIdempotentWork = "once-"

// settleTime is short here: the stand-in of the platform's balancer sees at once
// that an instance is leaving.
const settleTime = 200 * time.Millisecond

const startTimeout = 10 * time.Second

// Start runs the deployment and returns once every instance is ready.
func Start(ctx context.Context, deployment Deployment) (*Fleet, error) {
	around, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{
		Deployment: deployment, cancelAround: cancel, Targets: map[string]*imitator.Target{},
		Platform: &imitator.Platform{Seed: deployment.Seed},
	}
	change, err := f.startAround(around)
	if err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	for i := range deployment.Instances {
		if err := f.startInstance(ctx, i); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	ready, cancelReady := context.WithTimeout(ctx, startTimeout)
	defer cancelReady()
	if err := f.Daemons[0].Change(ready, change); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	if err := f.awaitReady(ready); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

// startAround starts the platform and the targets, and returns the change that
// declares them.
func (f *Fleet) startAround(ctx context.Context) (hemlocktally.Change, error) {
	address, err := f.serve(ctx, f.Platform.Serve)
	if err != nil {
		return hemlocktally.Change{}, err
	}
	f.StoreURL = "http://" + address
	change := hemlocktally.Change{ID: "deployment", Author: "experimenter"}
	for i := range f.Deployment.Services {
		service, err := f.startService(ctx, f.Deployment.Services[i])
		if err != nil {
			return change, err
		}
		change.Commands = append(change.Commands, hemlocktally.Command{Kind: hemlocktally.CommandPutService, Service: &service})
	}
	for _, caller := range f.Deployment.Callers {
		change.Commands = append(change.Commands, hemlocktally.Command{Kind: hemlocktally.CommandPutCaller, Caller: &caller})
	}
	for _, contract := range f.Deployment.Contracts {
		change.Commands = append(change.Commands, hemlocktally.Command{Kind: hemlocktally.CommandPutContract, Contract: &contract})
	}
	return change, nil
}

func (f *Fleet) startService(ctx context.Context, deployed DeployedService) (hemlocktally.Service, error) {
	service := hemlocktally.Service{Name: deployed.Name, ProbePath: "/probe"}
	for i := range deployed.Targets {
		name := fmt.Sprintf("%s-%d", deployed.Name, i+1)
		target := &imitator.Target{
			Name: name, Seed: f.Deployment.Seed*1000 + uint64(len(f.Targets)),
			Mean: deployed.Mean, Sigma: deployed.Sigma, MaxConnections: deployed.MaxConnections,
		}
		address, err := f.serve(ctx, target.Serve)
		if err != nil {
			return service, err
		}
		f.Targets[string(deployed.Name)+"/"+name] = target
		zone := f.Deployment.Zones[i%len(f.Deployment.Zones)]
		service.Targets = append(service.Targets, hemlocktally.Target{
			Name: hemlocktally.TargetName(name), Address: address, Zone: zone, MaxConnections: deployed.MaxConnections,
		})
		f.Platform.List(imitator.ListedInstance{Name: name, Service: string(deployed.Name), Zone: string(zone), Address: address})
	}
	return service, nil
}

// serve runs a stand-in on a free port of loopback and returns its address.
func (f *Fleet) serve(ctx context.Context, serve func(context.Context, net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	f.around.Go(func() { f.fail(serve(ctx, listener)) })
	return listener.Addr().String(), nil
}

func (f *Fleet) startInstance(ctx context.Context, i int) error {
	const free = "127.0.0.1:0"
	listeners, err := runner.Listen(loader.ListenSettings{Callers: free, Peers: free, Operators: free})
	if err != nil {
		return err
	}
	settings := loader.Settings{
		Instance: loader.InstanceSettings{
			ID:   fmt.Sprintf("entry-%d", i+1),
			Zone: string(f.Deployment.Zones[i%len(f.Deployment.Zones)]),
		},
		Platform: loader.PlatformSettings{Store: f.StoreURL},
		Keys:     loader.KeySettings{Peer: PeerKey, Operator: OperatorKey},
		Routing:  loader.RoutingSettings{Policy: f.Deployment.Policy},
		Limits:   loader.LimitSettings{SettleTime: settleTime},
	}
	daemon := runner.New(settings, f.Deployment.Log, listeners)
	f.Platform.List(imitator.ListedInstance{Name: settings.Instance.ID, Zone: settings.Instance.Zone, Address: daemon.Self().PeerAddress})
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f.Daemons = append(f.Daemons, daemon)
	f.stops = append(f.stops, stop)
	f.daemons.Go(func() {
		if err := daemon.Run(ctx); !f.Crashed(i) {
			f.fail(err)
		}
	})
	return nil
}

// awaitReady waits until every instance has a configuration and sees the fleet.
func (f *Fleet) awaitReady(ctx context.Context) error {
	const pause = 20 * time.Millisecond
	for _, daemon := range f.Daemons {
		for !daemon.Ready(len(f.Daemons)) {
			select {
			case <-ctx.Done():
				return Error.New("instance %s was not ready in time", daemon.Self().ID)
			case <-time.After(pause):
			}
		}
	}
	return nil
}

// StopInstance stops one instance gracefully, without waiting for its end.
func (f *Fleet) StopInstance(i int) { f.stops[i]() }

// Stop stops the instances, then what stands around them, and returns the
// failures of all.
func (f *Fleet) Stop() error {
	for _, stop := range f.stops {
		stop()
	}
	f.daemons.Wait()
	f.cancelAround()
	f.around.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.failures...)
}

func (f *Fleet) fail(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, err)
}

// Doubled returns how many pieces of non-idempotent work ran more than once,
// on one target or on several.
func (f *Fleet) Doubled() int {
	runs := map[string]int{}
	for _, target := range f.Targets {
		for work, n := range target.Works() {
			runs[work] += n
		}
	}
	doubled := 0
	for work, n := range runs {
		if n > 1 && strings.HasPrefix(work, NonIdempotentWork) {
			doubled++
		}
	}
	return doubled
}
