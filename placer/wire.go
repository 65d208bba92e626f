package placer

import (
	"context"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// Place handles a request from another instance. It implements messenger.Placement.
func (s *Server) Place(ctx context.Context, in *messenger.PlaceRequest) (*messenger.PlaceResponse, error) {
	if !s.waitUntilReady(ctx, hemlocktally.ServiceName(in.GetService())) || !s.refreshTargets(ctx) {
		return &messenger.PlaceResponse{Unable: true}, nil
	}
	switch answer := s.Acquire(ctx, acquireMsg(in, time.Now())).(type) {
	case GrantCmd:
		grant := answer.Grant
		return &messenger.PlaceResponse{
			Grant: string(grant.ID), Target: string(grant.Target.Name), Address: grant.Target.Address,
			TargetZone: string(grant.Target.Zone), Cold: grant.Cold, Connections: int64(grant.Target.MaxConnections),
			Revision: uint64(grant.Revision), TargetStarted: grant.Target.Started,
		}, nil
	case RefuseCmd:
		return &messenger.PlaceResponse{
			Refused: string(answer.Error.Reason), Detail: answer.Error.Detail,
			RetryAfterMicroseconds: answer.Error.RetryAfter.Microseconds(),
		}, nil
	default:
		return &messenger.PlaceResponse{}, nil
	}
}

// EndTurn returns a grant on behalf of another instance.
func (s *Server) EndTurn(_ context.Context, in *messenger.EndTurnRequest) (*messenger.EndTurnResponse, error) {
	s.Release(grantResult(in))
	return &messenger.EndTurnResponse{}, nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func acquireMsg(in *messenger.PlaceRequest, now time.Time) AcquireMsg {
	request := hemlocktally.GrantRequest{
		Service: hemlocktally.ServiceName(in.GetService()), Contract: hemlocktally.ContractName(in.GetContract()),
		Priority: hemlocktally.Priority(in.GetPriority()), Kind: hemlocktally.AttemptKind(in.GetKind()),
		Deadline: now.Add(microseconds(in.GetDeadlineMicroseconds())), Objective: now.Add(microseconds(in.GetObjectiveMicroseconds())),
		NonIdempotent: in.GetNonIdempotent(),
	}
	for _, name := range in.GetExclude() {
		request.Exclude = append(request.Exclude, hemlocktally.TargetName(name))
	}
	return AcquireMsg{
		Ticket: in.GetTicket(), From: hemlocktally.InstanceID(in.GetInstance()), Zone: hemlocktally.ZoneName(in.GetZone()), Request: request,
	}
}

func newPlaceRequest(msg AcquireMsg, now time.Time) *messenger.PlaceRequest {
	r := msg.Request
	out := &messenger.PlaceRequest{
		Ticket: msg.Ticket, Service: string(r.Service), Contract: string(r.Contract), Priority: int32(r.Priority),
		Kind: int32(r.Kind), Zone: string(msg.Zone), Instance: string(msg.From),
		DeadlineMicroseconds: r.Deadline.Sub(now).Microseconds(), ObjectiveMicroseconds: r.Objective.Sub(now).Microseconds(),
		NonIdempotent: r.NonIdempotent,
	}
	for _, name := range r.Exclude {
		out.Exclude = append(out.Exclude, string(name))
	}
	return out
}

// grantFromResponse decodes a grant. The lease of a grant on a cold target counts from when
// the request was sent.
func grantFromResponse(in *messenger.PlaceResponse, msg AcquireMsg, owner hemlocktally.InstanceID, asked time.Time) hemlocktally.Grant {
	grant := hemlocktally.Grant{
		ID: hemlocktally.GrantID(in.GetGrant()), Service: msg.Request.Service, Owner: owner,
		Revision: hemlocktally.Revision(in.GetRevision()), Deadline: msg.Request.Deadline, Cold: in.GetCold(),
		Target: hemlocktally.Target{
			Name: hemlocktally.TargetName(in.GetTarget()), Address: in.GetAddress(), Zone: hemlocktally.ZoneName(in.GetTargetZone()),
			MaxConnections: int(in.GetConnections()), Started: in.GetTargetStarted(),
		},
	}
	if grant.Cold {
		grant.LeaseEnd = asked.Add(coldGrantTTL)
	}
	return grant
}

func newEndTurnRequest(r hemlocktally.GrantResult) *messenger.EndTurnRequest {
	out := &messenger.EndTurnRequest{
		Grant: string(r.Grant.ID), Service: string(r.Grant.Service), Target: string(r.Grant.Target.Name), Contract: string(r.Contract),
		Outcome: int32(r.Outcome), LatencyMicroseconds: r.Latency.Microseconds(), SaidDraining: r.ReportedDraining,
		Misdirected: r.Misdirected, Unreachable: r.Unreachable, StayAwayMicroseconds: r.RetryAfter.Microseconds(),
	}
	if r.Load != nil {
		const percent = 100
		out.Load = &messenger.TargetLoad{
			Running: int32(r.Load.Running), Waiting: int32(r.Load.Waiting), Slots: int32(r.Load.Slots), PacePercent: int32(percent * r.Load.Pace),
		}
	}
	return out
}

func grantResult(in *messenger.EndTurnRequest) hemlocktally.GrantResult {
	r := hemlocktally.GrantResult{
		Grant: hemlocktally.Grant{
			ID: hemlocktally.GrantID(in.GetGrant()), Service: hemlocktally.ServiceName(in.GetService()),
			Target: hemlocktally.Target{Name: hemlocktally.TargetName(in.GetTarget())},
		},
		Contract: hemlocktally.ContractName(in.GetContract()), Outcome: hemlocktally.AttemptOutcome(in.GetOutcome()),
		Latency: microseconds(in.GetLatencyMicroseconds()), ReportedDraining: in.GetSaidDraining(), Misdirected: in.GetMisdirected(),
		Unreachable: in.GetUnreachable(), RetryAfter: microseconds(in.GetStayAwayMicroseconds()),
	}
	if load := in.GetLoad(); load != nil {
		const percent = 100
		r.Load = &hemlocktally.Load{
			Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots()), Pace: float64(load.GetPacePercent()) / percent,
		}
	}
	return r
}
