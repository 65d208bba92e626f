package allocator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Server runs the owners of one instance and answers requests of peers. It
// implements messenger.Allocation. The exported fields are set before Run and
// not changed after.
type Server struct {
	Self          hemlocktally.InstanceID
	Incarnation   string
	Configuration hemlocktally.ConfigurationSource
	Members       hemlocktally.ViewSource  // Members may be nil: then the instance is the only member.
	Leaser        hemlocktally.LeaseHolder // Leaser may be nil: then cold targets get no work.
	Measurer      hemlocktally.Prober
	Peers         *Peers // Peers may be nil: then no other instance is contacted.
	Grants        *GrantRegistry
	Log           logger.Logger

	mu     sync.Mutex
	ctx    context.Context //nolint:containedctx // The owners end with the server's run, not with one request.
	owners map[hemlocktally.ServiceName]*Owner
	// appliedConfig is the configuration that the owners have been sent.
	appliedConfig *hemlocktally.Configuration
	// appliedView is the hash of the view for which owners were last started.
	appliedView uint64
	environment *environment
	reconciler  reconciler
}

// Run applies configuration and view changes to the owners and reconciles their
// grants with the members until the context ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.environment = &environment{log: s.Log, measurer: s.Measurer, stateChanged: make(chan struct{}, 1)}
	s.reconciler.exclusivity = ExclusivityTracker{Self: s.Self, Started: time.Now()}
	s.mu.Unlock()
	const refresh = 50 * time.Millisecond
	ticker := time.NewTicker(refresh)
	defer ticker.Stop()
	for {
		s.applyChanges(ctx)
		s.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-s.environment.stateChanged:
		case <-ticker.C:
		}
	}
}

// BrokenInvariants returns how many invariant violations the owners have found.
func (s *Server) BrokenInvariants() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.environment == nil {
		return 0
	}
	return s.environment.brokenInvariants.Load()
}

func (s *Server) currentView() hemlocktally.View {
	if s.Members == nil {
		return hemlocktally.View{Members: []hemlocktally.Instance{{ID: s.Self, State: hemlocktally.InstanceServing}}}
	}
	return s.Members.View()
}

func (s *Server) applyChanges(ctx context.Context) {
	config := s.Configuration.Current()
	view := s.currentView()
	hash := HashView(view)
	s.mu.Lock()
	defer s.mu.Unlock()
	// Configurations are compared by pointer, because a provisional stop makes
	// another configuration of the same revision.
	if config == s.appliedConfig && hash == s.appliedView {
		return
	}
	if config != s.appliedConfig {
		s.configure(ctx, config)
	}
	s.appliedConfig, s.appliedView = config, hash
	serving := view.Serving()
	for i := range config.Services {
		name := config.Services[i].Name
		if owner, _ := OwnerOf(name, serving); owner.ID == s.Self {
			s.ensureOwner(config, name)
		}
	}
}

// AppliedRevision returns the revision of the configuration that the owners of this
// instance have been sent, or zero before the first.
func (s *Server) AppliedRevision() hemlocktally.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appliedConfig == nil {
		return 0
	}
	return s.appliedConfig.Revision
}

// configure sends the owners a new configuration and stops those of services
// that it no longer has. The caller holds the lock.
func (s *Server) configure(ctx context.Context, config *hemlocktally.Configuration) {
	for name, owner := range s.owners {
		if _, ok := config.Service(name); !ok {
			owner.cancel()
			delete(s.owners, name)
			continue
		}
		owner.Send(ctx, configurationMsg(config, name))
	}
}

func configurationMsg(config *hemlocktally.Configuration, name hemlocktally.ServiceName) ConfigurationMsg {
	service, _ := config.Service(name)
	service.Name = name
	msg := ConfigurationMsg{Service: service, Revision: config.Revision, OutOfService: map[hemlocktally.TargetName]bool{}}
	for _, t := range service.Targets {
		msg.OutOfService[t.Name] = config.TargetOut(t)
	}
	for _, contract := range config.Contracts {
		if contract.Service == name {
			msg.Contracts = append(msg.Contracts, contract)
		}
	}
	return msg
}

// ownerFor returns the owner of the service on this instance and starts it if
// needed. The error is a *hemlocktally.RefusedError if the server is not running
// or the service does not exist.
func (s *Server) ownerFor(name hemlocktally.ServiceName) (*Owner, error) {
	config := s.Configuration.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return nil, stoppingError()
	}
	if _, ok := config.Service(name); !ok {
		return nil, refusal(hemlocktally.ReasonNoTarget, "no service "+string(name), 0)
	}
	return s.ensureOwner(config, name), nil
}

// ensureOwner returns the owner of a service of the configuration and starts it
// if there is none. The caller holds the lock.
func (s *Server) ensureOwner(config *hemlocktally.Configuration, name hemlocktally.ServiceName) *Owner {
	if o, ok := s.owners[name]; ok {
		return o
	}
	o := startOwner(s.ctx, &State{Owner: s.Self, Epoch: s.Incarnation}, s.environment)
	o.Send(s.ctx, configurationMsg(config, name))
	if s.owners == nil {
		s.owners = map[hemlocktally.ServiceName]*Owner{}
	}
	s.owners[name] = o
	return o
}

// Ready reports whether the owners of this instance can grant all targets in
// service: the instance is the exclusive owner, or all these targets are warm.
func (s *Server) Ready() bool {
	s.mu.Lock()
	exclusive := s.reconciler.exclusive
	s.mu.Unlock()
	for _, o := range s.snapshotOwners() {
		if o.summary.Load().needsExclusivity && !exclusive {
			return false
		}
	}
	return true
}

func (s *Server) snapshotOwners() map[hemlocktally.ServiceName]*Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[hemlocktally.ServiceName]*Owner, len(s.owners))
	for name, o := range s.owners {
		list[name] = o
	}
	return list
}

// AcquireLocal acquires a grant from the owner on this instance. The errors are
// those of Owner.Acquire.
func (s *Server) AcquireLocal(ctx context.Context, requester hemlocktally.InstanceID, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	o, err := s.ownerFor(request.Service)
	if err != nil {
		return hemlocktally.Grant{}, err
	}
	return o.Acquire(ctx, requester, request)
}

// ReleaseLocal returns a grant to the owner on this instance, if there is one.
func (s *Server) ReleaseLocal(service hemlocktally.ServiceName, msg ResultMsg) {
	s.mu.Lock()
	o := s.owners[service]
	s.mu.Unlock()
	if o != nil {
		o.Send(context.Background(), msg)
	}
}

// Acquire serves a peer's request for a grant. Refusals are part of the
// response; an error means that the peer cancelled the request.
func (s *Server) Acquire(ctx context.Context, in *messenger.AcquireRequest) (*messenger.AcquireResponse, error) {
	arrived := time.Now()
	if in.StandIn && s.ownerReachable(ctx, hemlocktally.ServiceName(in.Service), arrived) {
		return &messenger.AcquireResponse{Refused: refusedNotOwner, Owner: string(s.Self)}, nil
	}
	grant, err := s.AcquireLocal(ctx, hemlocktally.InstanceID(in.Instance), decodeRequest(in, arrived))
	var refused *hemlocktally.RefusedError
	if errors.As(err, &refused) {
		return &messenger.AcquireResponse{
			Refused: string(refused.Reason), Detail: refused.Detail, Owner: string(s.Self),
			RetryAfterMicroseconds: refused.RetryAfter.Microseconds(),
		}, nil
	}
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Canceled, "the request was cancelled while it waited"), err)
	}
	out := &messenger.AcquireResponse{
		Grant: string(grant.ID), Target: string(grant.Target.Name), Address: grant.Target.Address,
		Revision: uint64(grant.Revision), Owner: string(grant.Owner), WaitedMicroseconds: grant.Waited.Microseconds(),
		Cold: grant.Cold,
	}
	if grant.Cold {
		out.LeaseMicroseconds = grant.LeaseEnd.Sub(arrived).Microseconds()
	}
	return out, nil
}

// ownerReachable reports whether another instance owns the service and is
// reachable from here.
func (s *Server) ownerReachable(ctx context.Context, service hemlocktally.ServiceName, now time.Time) bool {
	owner, ok := OwnerOf(service, s.currentView().Serving())
	if !ok || owner.ID == s.Self || s.Peers == nil {
		return false
	}
	return s.Peers.reachable(ctx, owner, now)
}

func decodeRequest(in *messenger.AcquireRequest, now time.Time) hemlocktally.GrantRequest {
	request := hemlocktally.GrantRequest{
		Call:       hemlocktally.CallID(in.Call),
		Service:    hemlocktally.ServiceName(in.Service),
		Contract:   hemlocktally.ContractName(in.Contract),
		Priority:   hemlocktally.Priority(in.Priority),
		Kind:       hemlocktally.AttemptKind(in.Kind),
		Deadline:   now.Add(messenger.Duration(in.DeadlineMicroseconds)),
		QueueLimit: messenger.Duration(in.QueueLimitMicroseconds),
	}
	for _, name := range in.Exclude {
		request.Exclude = append(request.Exclude, hemlocktally.TargetName(name))
	}
	return request
}

// Report takes back the grants of a peer, with their results.
func (s *Server) Report(_ context.Context, in *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	for _, r := range in.Results {
		s.ReleaseLocal(hemlocktally.ServiceName(r.Service), ResultMsg{
			Grant:        hemlocktally.GrantID(r.Grant),
			Target:       hemlocktally.TargetName(r.Target),
			Outcome:      hemlocktally.AttemptOutcome(r.Outcome),
			Latency:      messenger.Duration(r.LatencyMicroseconds),
			SaidCold:     r.SaidCold,
			SaidDraining: r.SaidDraining,
		})
	}
	return &messenger.ReportResponse{Owner: string(s.Self)}, nil
}

// Statuses returns the status of all targets that this instance owns, by service
// name. Owners that do not answer within a second are left out.
func (s *Server) Statuses() []hemlocktally.TargetStatus {
	var list []hemlocktally.TargetStatus
	for _, status := range s.ownerStatuses() {
		list = append(list, status.targets...)
	}
	return list
}

// Budgets returns the budgets of all services that this instance owns, by
// service name. An owner that does not answer within a second has a zero value.
func (s *Server) Budgets() []hemlocktally.BudgetStatus {
	var list []hemlocktally.BudgetStatus
	for _, status := range s.ownerStatuses() {
		list = append(list, status.budget)
	}
	return list
}

func (s *Server) ownerStatuses() []ownerStatus {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	owners := s.snapshotOwners()
	names := make([]hemlocktally.ServiceName, 0, len(owners))
	for name := range owners {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]ownerStatus, 0, len(names))
	for _, name := range names {
		list = append(list, owners[name].status(ctx))
	}
	return list
}
