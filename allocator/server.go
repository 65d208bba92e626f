package allocator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"hemlocktally"
	"hemlocktally/messenger"
)

// Server runs the owners of one instance and answers peers. It implements
// messenger.Allocation.
type Server struct {
	Self          hemlocktally.InstanceID
	Configuration hemlocktally.Configurer

	mu       sync.Mutex
	ctx      context.Context //nolint:containedctx // The owners end with the server's run, not with one request.
	owners   map[hemlocktally.ServiceName]*Owner
	revision hemlocktally.Revision
}

// Run keeps the owners at the configuration in force until the context ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	const refresh = 50 * time.Millisecond
	ticker := time.NewTicker(refresh)
	defer ticker.Stop()
	for {
		s.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) refresh(ctx context.Context) {
	config := s.Configuration.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if config.Revision == s.revision {
		return
	}
	s.revision = config.Revision
	for name, owner := range s.owners {
		owner.Send(ctx, configurationMsg(config, name))
	}
}

func configurationMsg(config *hemlocktally.Configuration, name hemlocktally.ServiceName) ConfigurationMsg {
	service, _ := config.Service(name)
	service.Name = name
	msg := ConfigurationMsg{Service: service, Revision: config.Revision, Out: map[hemlocktally.TargetName]bool{}}
	for _, t := range service.Targets {
		msg.Out[t.Name] = config.TargetOut(t)
	}
	return msg
}

// owner returns the task for the service, starting it where needed.
func (s *Server) owner(name hemlocktally.ServiceName) (*Owner, error) {
	config := s.Configuration.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.owners[name]; ok {
		return o, nil
	}
	if s.ctx == nil || s.ctx.Err() != nil {
		return nil, leaving()
	}
	if _, ok := config.Service(name); !ok {
		return nil, &hemlocktally.RefusedError{
			Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonNoTarget, Detail: "no service " + string(name),
		}
	}
	o := StartOwner(s.ctx, s.Self)
	o.Send(s.ctx, configurationMsg(config, name))
	if s.owners == nil {
		s.owners = map[hemlocktally.ServiceName]*Owner{}
	}
	s.owners[name] = o
	return o, nil
}

// AcquireHere asks the owner task of this instance.
func (s *Server) AcquireHere(ctx context.Context, from hemlocktally.InstanceID, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	o, err := s.owner(request.Service)
	if err != nil {
		return hemlocktally.Grant{}, err
	}
	return o.Acquire(ctx, from, request)
}

// ReleaseHere gives a turn back to the owner task of this instance.
func (s *Server) ReleaseHere(service hemlocktally.ServiceName, msg ResultMsg) {
	o, err := s.owner(service)
	if err != nil {
		return
	}
	o.Send(context.Background(), msg)
}

// Acquire answers a peer.
func (s *Server) Acquire(ctx context.Context, in *messenger.AcquireRequest) (*messenger.AcquireResponse, error) {
	grant, err := s.AcquireHere(ctx, hemlocktally.InstanceID(in.Instance), requestOf(in, time.Now()))
	var refused *hemlocktally.RefusedError
	if errors.As(err, &refused) {
		return &messenger.AcquireResponse{
			Refused: string(refused.Reason), Detail: refused.Detail, Owner: string(s.Self),
			RetryAfterMicroseconds: refused.RetryAfter.Microseconds(),
		}, nil
	}
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Canceled, "the wait was given up"), err)
	}
	return &messenger.AcquireResponse{
		Grant: string(grant.ID), Target: string(grant.Target.Name), Address: grant.Target.Address,
		Revision: uint64(grant.Revision), Owner: string(grant.Owner), WaitedMicroseconds: grant.Waited.Microseconds(),
		Cold: grant.Cold,
	}, nil
}

func requestOf(in *messenger.AcquireRequest, now time.Time) hemlocktally.GrantRequest {
	request := hemlocktally.GrantRequest{
		Call:       hemlocktally.CallID(in.Call),
		Service:    hemlocktally.ServiceName(in.Service),
		Contract:   hemlocktally.ContractName(in.Contract),
		Priority:   hemlocktally.Priority(in.Priority),
		Kind:       hemlocktally.AttemptKind(in.Kind),
		Deadline:   now.Add(time.Duration(in.DeadlineMicroseconds) * time.Microsecond),
		QueueLimit: time.Duration(in.QueueLimitMicroseconds) * time.Microsecond,
	}
	for _, name := range in.Exclude {
		request.Exclude = append(request.Exclude, hemlocktally.TargetName(name))
	}
	return request
}

// Report takes back the turns of a peer.
func (s *Server) Report(_ context.Context, in *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	for _, r := range in.Results {
		s.ReleaseHere(hemlocktally.ServiceName(in.Service), ResultMsg{
			Grant:        hemlocktally.GrantID(r.Grant),
			Target:       hemlocktally.TargetName(r.Target),
			Outcome:      hemlocktally.AttemptOutcome(r.Outcome),
			Latency:      time.Duration(r.LatencyMicroseconds) * time.Microsecond,
			SaidCold:     r.SaidCold,
			SaidDraining: r.SaidDraining,
		})
	}
	return &messenger.ReportResponse{Owner: string(s.Self)}, nil
}

// BrokenInvariants returns how many invariants the owners found broken.
func (s *Server) BrokenInvariants() uint64 { return 0 }
