package placer

import (
	"context"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// maxResponseBytes bounds the size of a response that another instance reports.
const maxResponseBytes = 1 << 40

// Place handles a request from another instance. It implements messenger.Placement.
func (s *Server) Place(ctx context.Context, in *messenger.PlaceRequest) (*messenger.PlaceResponse, error) {
	out := s.place(ctx, in)
	out.Suspects = s.Suspects.Answer(in.GetSuspects())
	return out, nil
}

func (s *Server) place(ctx context.Context, in *messenger.PlaceRequest) *messenger.PlaceResponse {
	if s.isolated(hemlocktally.ServiceName(in.GetService())) {
		return &messenger.PlaceResponse{Unable: true, Isolated: true}
	}
	if !s.waitUntilReady(ctx, hemlocktally.ServiceName(in.GetService())) || !s.refreshTargets(ctx) || s.isSuperseded() {
		return &messenger.PlaceResponse{Unable: true}
	}
	switch answer := s.Acquire(ctx, acquireMsg(in, time.Now())).(type) {
	case GrantCmd:
		grant := answer.Grant
		return withNews(answer.News, &messenger.PlaceResponse{
			Grant: string(grant.ID), Target: string(grant.Target.Name), Address: grant.Target.Address,
			TargetZone: string(grant.Target.Zone), Cold: grant.Cold, Connections: int64(grant.Target.MaxConnections),
			Revision: uint64(grant.Revision), TargetStarted: grant.Target.Started, Limit: wireLimit(grant.Target, grant.Limit, time.Now()),
			HeldBy: grant.HeldBy,
		})
	case RefuseCmd:
		return withNews(answer.News, &messenger.PlaceResponse{
			Refused: string(answer.Error.Reason), Detail: answer.Error.Detail,
			RetryAfterMicroseconds: answer.Error.RetryAfter.Microseconds(),
		})
	case PendingCmd:
		return withNews(answer.News, &messenger.PlaceResponse{})
	default:
		return &messenger.PlaceResponse{}
	}
}

// EndTurn returns a grant on behalf of another instance.
func (s *Server) EndTurn(_ context.Context, in *messenger.EndTurnRequest) (*messenger.EndTurnResponse, error) {
	s.Release(grantResult(in))
	return &messenger.EndTurnResponse{}, nil
}

func acquireMsg(in *messenger.PlaceRequest, now time.Time) AcquireMsg {
	request := hemlocktally.GrantRequest{
		Service: hemlocktally.ServiceName(in.GetService()), Contract: hemlocktally.ContractName(in.GetContract()),
		Priority: hemlocktally.Priority(in.GetPriority()), Kind: hemlocktally.AttemptKind(in.GetKind()),
		Deadline: now.Add(messenger.Duration(in.GetDeadlineMicroseconds())), Objective: now.Add(messenger.Duration(in.GetObjectiveMicroseconds())),
		NonIdempotent: in.GetNonIdempotent(),
	}
	request.Customer, request.Counted, request.Late = hemlocktally.CustomerName(in.GetCustomer()), in.GetCounted(), in.GetLate()
	if trial := in.GetTrial(); len(trial) == hemlocktally.FingerprintBytes {
		request.Trial = hemlocktally.Fingerprint(trial)
	}
	for _, name := range in.GetExclude() {
		request.Exclude = append(request.Exclude, hemlocktally.TargetName(name))
	}
	return AcquireMsg{
		Ticket: in.GetTicket(), From: hemlocktally.InstanceID(in.GetInstance()), Zone: hemlocktally.ZoneName(in.GetZone()), Request: request,
		Limits: targetLimits(in.GetLimits(), now), LimitsVersion: in.GetLimitsVersion(), Sent: in.GetSent(),
	}
}

func newPlaceRequest(msg AcquireMsg, now time.Time) *messenger.PlaceRequest {
	r := msg.Request
	out := &messenger.PlaceRequest{
		Ticket: msg.Ticket, Service: string(r.Service), Contract: string(r.Contract), Priority: int32(r.Priority),
		Kind: int32(r.Kind), Zone: string(msg.Zone), Instance: string(msg.From),
		DeadlineMicroseconds: r.Deadline.Sub(now).Microseconds(), ObjectiveMicroseconds: r.Objective.Sub(now).Microseconds(),
		NonIdempotent: r.NonIdempotent, Customer: string(r.Customer), Late: r.Late, Counted: r.Counted, Sent: msg.Sent, Limits: wireLimits(msg.Limits, now), LimitsVersion: msg.LimitsVersion,
	}
	if r.Trial != (hemlocktally.Fingerprint{}) {
		out.Trial = r.Trial[:]
	}
	for _, name := range r.Exclude {
		out.Exclude = append(out.Exclude, string(name))
	}
	return out
}

func withNews(news LimitNews, out *messenger.PlaceResponse) *messenger.PlaceResponse {
	out.Limits, out.LimitsVersion = wireLimits(news.Limits, time.Now()), news.Version
	return out
}

func limitNews(in *messenger.PlaceResponse) LimitNews {
	return LimitNews{Limits: targetLimits(in.GetLimits(), time.Now()), Version: in.GetLimitsVersion()}
}

func wireLimits(limits []hemlocktally.TargetLimit, now time.Time) []*messenger.TargetLimit {
	var out []*messenger.TargetLimit
	for _, l := range limits {
		out = append(out, wireLimit(hemlocktally.Target{Name: l.Target, Started: l.Started}, l.Limit, now))
	}
	return out
}

// wireLimit encodes what is known of a target's limit; it returns nil if that is nothing.
func wireLimit(target hemlocktally.Target, limit hemlocktally.RateLimit, now time.Time) *messenger.TargetLimit {
	if limit.At.IsZero() {
		return nil
	}
	return &messenger.TargetLimit{
		Target: string(target.Name), TargetStarted: target.Started, Named: limit.Named, PerSecond: limit.PerSecond,
		AgeMicroseconds: now.Sub(limit.At).Microseconds(),
	}
}

func rateLimit(in *messenger.TargetLimit, now time.Time) hemlocktally.RateLimit {
	if in == nil || !(in.GetPerSecond() >= 0 && in.GetPerSecond() <= hemlocktally.MaxRate) {
		return hemlocktally.RateLimit{}
	}
	return hemlocktally.RateLimit{PerSecond: in.GetPerSecond(), Named: in.GetNamed(), At: now.Add(-messenger.Duration(max(0, in.GetAgeMicroseconds())))}
}

func targetLimits(in []*messenger.TargetLimit, now time.Time) []hemlocktally.TargetLimit {
	var limits []hemlocktally.TargetLimit
	for _, l := range in {
		limits = append(limits, hemlocktally.TargetLimit{
			Target: hemlocktally.TargetName(l.GetTarget()), Started: l.GetTargetStarted(), Limit: rateLimit(l, now),
		})
	}
	return limits
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
		Limit: rateLimit(in.GetLimit(), time.Now()), HeldBy: in.GetHeldBy(),
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
		Misdirected: r.Misdirected, Unreachable: r.Unreachable, StayAwayMicroseconds: r.RetryAfter.Microseconds(), ColdMicroseconds: r.ColdFor.Microseconds(),
		Counted:       r.Counted,
		ResponseBytes: r.ResponseBytes,
	}
	if r.Limit != nil {
		out.Limit = wireLimit(r.Grant.Target, *r.Limit, time.Now())
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
		Latency: messenger.Duration(in.GetLatencyMicroseconds()), ReportedDraining: in.GetSaidDraining(), Misdirected: in.GetMisdirected(),
		Unreachable: in.GetUnreachable(), Counted: in.GetCounted(), RetryAfter: messenger.Duration(in.GetStayAwayMicroseconds()),
		ReportedCold: in.GetColdMicroseconds() > 0, ColdFor: messenger.Duration(in.GetColdMicroseconds()),
		ResponseBytes: min(maxResponseBytes, max(0, in.GetResponseBytes())),
	}
	if in.GetLimit() != nil {
		limit := rateLimit(in.GetLimit(), time.Now())
		r.Limit, r.Grant.Target.Started = &limit, in.GetLimit().GetTargetStarted()
	}
	if load := in.GetLoad(); load != nil {
		const percent = 100
		r.Load = &hemlocktally.Load{
			Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots()), Pace: min(hemlocktally.MaxPace, float64(load.GetPacePercent())/percent),
		}
	}
	return r
}
