package placer

import (
	"context"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/monitor"
	"hemlocktally/quarantiner"
)

// LoadProber asks targets for their load.
type LoadProber interface {
	// Load returns the target's answer to a probe of the path.
	Load(ctx context.Context, target hemlocktally.Target, path string) (hemlocktally.ResponseInfo, error)
}

// Server runs a State for each service for which a grant is requested. Its fields must be set
// before Run.
type Server struct {
	Self   hemlocktally.InstanceID
	Epoch  string
	Bounds Bounds
	Prober LoadProber
	Log    logger.Logger
	// Alone is set if the server decides only for its own instance.
	Alone bool
	// View lists the owners, among which the server finds its rank. If it is nil, the server
	// counts as the first owner of each service.
	View hemlocktally.ViewSource
	// RequestTargets is called on each request. It may be nil.
	RequestTargets func()
	// TargetsRead returns when the list of targets was last read, and whether it can currently be
	// read. If it is nil, the list counts as current.
	TargetsRead func() (at time.Time, readable bool)
	// Superseded reports whether the list of targets is too old to decide by for others, because
	// the store answers them and not this instance. It may be nil.
	Superseded func() bool
	// Monitor learns of probes that fail, and tells whether the instance reaches the targets. It
	// may be nil.
	Monitor *monitor.Monitor
	// Suspects decides on trials of requests that were held back, and exchanges what is known of
	// them with the clients. It may be nil.
	Suspects *quarantiner.Quarantiner
	// Quotas counts the calls of customers. If it is nil, there are no quotas.
	Quotas Quotas

	charges charges
	// Rollouts executes a command of a rollout and returns the message with its result. It may be
	// nil.
	Rollouts func(service hemlocktally.ServiceName, command any) any

	mu            sync.Mutex
	ctx           context.Context //nolint:containedctx // The tasks end with Run, not with a single request.
	services      map[hemlocktally.ServiceName]*serviceTask
	latest        map[hemlocktally.ServiceName]TargetsMsg
	leaving       bool
	skipWaitUntil time.Time // skipWaitUntil is until when requests don't wait for a newer list.
}

const (
	inboxSize = 256
	// queueTick is the time between two checks of the queue while calls wait.
	queueTick = 5 * time.Millisecond
	idleTick  = 500 * time.Millisecond
	// probeTimeout limits a load probe, including a new connection.
	probeTimeout = 60 * time.Millisecond
	// maxHold is how long a request is held before its client is told to ask again.
	maxHold = 20 * time.Millisecond
	// maxListAge is the age up to which the list of targets is used without waiting for a
	// newer one. A target that leaves must stop getting calls within two seconds.
	maxListAge = 1400 * time.Millisecond
	// listWait is how long a request waits for a newer list. It must be shorter than the
	// client's timeout for its reply.
	listWait = 30 * time.Millisecond
	// aloneListWait is the same for an instance that decides alone. It is longer because a hub
	// may have to read the list first.
	aloneListWait = 300 * time.Millisecond
	// listWaitPause is how long requests don't wait after one has waited without success, as
	// with a slow store.
	listWaitPause    = 2 * time.Second
	listPollInterval = 2 * time.Millisecond
	// rankInterval is the minimum time between two updates of the server's rank.
	rankInterval = 100 * time.Millisecond
)

// serviceTask is the goroutine that owns the state of one service.
type serviceTask struct {
	server  *Server
	name    hemlocktally.ServiceName
	state   State
	inbox   chan any
	done    chan struct{}           // done is closed when the inbox is no longer read.
	replies map[string]pendingReply // replies is keyed by ticket.
	// rankedAt is when the state was last told the server's rank.
	rankedAt time.Time
}

// pendingReply is where the reply to a ticket goes.
type pendingReply struct {
	channel       chan any
	limitsVersion uint64 // limitsVersion is the version of the limits that the client knows.
}

// acquireCall is an AcquireMsg with its reply channel.
type acquireCall struct {
	AcquireMsg
	reply chan any
}

// Run provides the context for the service tasks and blocks until it ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	<-ctx.Done()
	return nil
}

// Leave makes the server refuse further requests from other instances.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// CanDecide reports whether the server can decide for the service on behalf of other
// instances: it runs, is not leaving and knows targets. An instance that started while the
// store was down knows no targets.
func (s *Server) CanDecide(service hemlocktally.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx != nil && !s.leaving && len(s.latest[service].Targets) > 0
}

// isolated reports whether the instance reaches hardly any target of the service. It must not
// decide for others then: it would take the state of its own network for that of the targets.
func (s *Server) isolated(service hemlocktally.ServiceName) bool { return s.Monitor.Isolated(service) }

// waitUntilReady reports whether the server can decide for the service. If no targets are
// known yet, it requests them and waits up to listWait: an owner reads the targets only when
// it is first asked.
func (s *Server) waitUntilReady(ctx context.Context, service hemlocktally.ServiceName) bool {
	if s.CanDecide(service) {
		return true
	}
	if s.RequestTargets == nil || s.isLeaving() {
		return false
	}
	s.RequestTargets()
	return s.pollCanDecide(ctx, service, listWait, listPollInterval)
}

// pollCanDecide waits up to the given time until the server can decide for the service, and
// reports whether it can.
func (s *Server) pollCanDecide(ctx context.Context, service hemlocktally.ServiceName, wait, interval time.Duration) bool {
	for deadline := time.Now().Add(wait); !s.CanDecide(service); time.Sleep(interval) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
	}
	return true
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Configure updates the targets of all services.
func (s *Server) Configure(services map[hemlocktally.ServiceName]TargetsMsg) {
	s.mu.Lock()
	s.latest = services
	tasks := make(map[hemlocktally.ServiceName]*serviceTask, len(s.services))
	for name, task := range s.services {
		tasks[name] = task
	}
	s.mu.Unlock()
	for name, task := range tasks {
		task.send(services[name])
	}
	s.startRollouts(services)
}

// task returns the task of the service and starts it if necessary. It returns nil before Run.
func (s *Server) task(service hemlocktally.ServiceName) *serviceTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		return nil
	}
	if t := s.services[service]; t != nil {
		return t
	}
	t := &serviceTask{
		server: s, name: service, inbox: make(chan any, inboxSize), done: make(chan struct{}), replies: map[string]pendingReply{},
		state: State{Owner: s.Self, Epoch: s.Epoch, Alone: s.Alone, Bounds: s.Bounds},
	}
	if s.services == nil {
		s.services = map[hemlocktally.ServiceName]*serviceTask{}
	}
	s.services[service] = t
	t.send(s.latest[service])
	go t.run(s.ctx)
	return t
}

// send sends a message to the task. It blocks while the inbox is full, and drops the message
// if the task has ended.
func (t *serviceTask) send(msg any) {
	select {
	case t.inbox <- msg:
	case <-t.done:
	}
}

// Acquire passes the request to the service's task and returns a GrantCmd, a RefuseCmd or a
// PendingCmd.
func (s *Server) Acquire(ctx context.Context, msg AcquireMsg) any {
	task := s.task(msg.Request.Service)
	if task == nil {
		return RefuseCmd{Ticket: msg.Ticket, Error: notRunError(hemlocktally.ReasonStarting, "the instance is starting", minRetryAfter)}
	}
	if !s.allowsTrial(msg) {
		return RefuseCmd{Ticket: msg.Ticket, Error: notRunError(hemlocktally.ReasonQuarantined, "the request crashed several targets and another call tries it now", maxRetryAfter)}
	}
	if !s.refreshTargets(ctx) {
		return RefuseCmd{Ticket: msg.Ticket, Error: notRunError(hemlocktally.ReasonNoTarget, "the list of targets is stale", minRetryAfter)}
	}
	msg.ReplyBy = time.Now().Add(maxHold)
	if refused := s.charge(msg, time.Now()); refused != nil {
		return RefuseCmd{Ticket: msg.Ticket, Error: refused}
	}
	answer := s.acquire(ctx, task, msg)
	s.settleTicket(msg.Ticket, answer)
	return answer
}

// acquire passes the request to the task and waits for the answer.
func (s *Server) acquire(ctx context.Context, task *serviceTask, msg AcquireMsg) any {
	call := acquireCall{AcquireMsg: msg, reply: make(chan any, 1)}
	task.send(call)
	select {
	case answer := <-call.reply:
		return answer
	case <-ctx.Done():
	}
	task.send(WithdrawMsg{Ticket: msg.Ticket})
	select {
	case answer := <-call.reply:
		// The grant was issued before the task read the withdrawal.
		if granted, ok := answer.(GrantCmd); ok {
			s.Release(hemlocktally.GrantResult{Grant: granted.Grant, Outcome: hemlocktally.AttemptUnused})
		}
	default:
	}
	return RefuseCmd{Ticket: msg.Ticket, Error: notRunError(hemlocktally.ReasonCallerCancelled, "the request was cancelled by its client", 0)}
}

// allowsTrial reports whether a request that was held back may be tried. Only an owner allows
// it: instances that decide alone would each try.
func (s *Server) allowsTrial(msg AcquireMsg) bool {
	trial := msg.Request.Trial
	if trial == (hemlocktally.Fingerprint{}) || s.Suspects == nil {
		return true
	}
	return !s.Alone && s.Suspects.StartTrial(trial, msg.Ticket)
}

// refreshTargets waits for a current list of targets and reports whether a choice may be made.
// A stale list that could be read may contain targets that have left.
func (s *Server) refreshTargets(ctx context.Context) bool {
	if s.RequestTargets != nil {
		s.RequestTargets()
	}
	s.waitForTargets(ctx)
	if s.TargetsRead == nil {
		return true
	}
	at, readable := s.TargetsRead()
	return !readable || time.Since(at) < hemlocktally.MaxTargetListAge
}

// isSuperseded reports whether other instances must not rely on this server's list of targets.
func (s *Server) isSuperseded() bool { return s.Superseded != nil && s.Superseded() }

// waitForTargets waits for a newer list of targets if the current one is stale. An instance
// that has placed no calls for a while reads the list rarely or not at all. While the store
// does not answer, the stale list is used.
func (s *Server) waitForTargets(ctx context.Context) {
	if s.TargetsRead == nil {
		return
	}
	wait := listWait
	if s.Alone {
		wait = aloneListWait
	}
	for deadline := time.Now().Add(wait); ctx.Err() == nil; time.Sleep(listPollInterval) {
		at, readable := s.TargetsRead()
		now := time.Now()
		if !readable || now.Sub(at) < maxListAge || s.skipListWait(now, deadline) {
			return
		}
	}
}

// skipListWait reports whether to stop waiting for a list, because this request has waited
// long enough or another one did recently.
func (s *Server) skipListWait(now, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(deadline) {
		s.skipWaitUntil = now.Add(listWaitPause)
	}
	return now.Before(s.skipWaitUntil)
}

// Release returns a grant.
func (s *Server) Release(result hemlocktally.GrantResult) {
	s.settleGrant(result)
	if task := s.task(result.Grant.Service); task != nil {
		task.send(ReleaseMsg{Result: result})
	}
}

// run executes the task until the context ends.
func (t *serviceTask) run(ctx context.Context) {
	defer close(t.done)
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		var msg any = TickMsg{}
		select {
		case <-ctx.Done():
			return
		case msg = <-t.inbox:
		case <-timer.C:
		}
		t.step(ctx, msg)
		timer.Reset(t.tick())
	}
}

// tick returns the time until the state is told the time if no message comes before.
func (t *serviceTask) tick() time.Duration {
	switch {
	case t.state.Waiting() > 0:
		return queueTick
	case t.state.rolloutActive():
		if t.server.RequestTargets != nil && t.state.rollout.decision.Decides() {
			t.server.RequestTargets() // A rollout goes on without calls.
		}
		return rolloutTick
	}
	return idleTick
}

func (t *serviceTask) step(ctx context.Context, msg any) {
	if call, ok := msg.(statsRequest); ok {
		call.reply <- t.state.Stats(time.Now())
		return
	}
	if call, ok := msg.(acquireCall); ok {
		t.replies[call.Ticket] = pendingReply{channel: call.reply, limitsVersion: call.LimitsVersion}
		msg = call.AcquireMsg
	}
	now := time.Now()
	for _, command := range append(t.updateRank(now), t.state.Update(msg, now)...) {
		switch command := command.(type) {
		case GrantCmd:
			t.logLeave(command)
			command.News = t.limitNews(command.Ticket)
			t.reply(command.Ticket, command)
		case RefuseCmd:
			command.News = t.limitNews(command.Ticket)
			t.reply(command.Ticket, command)
		case PendingCmd:
			command.News = t.limitNews(command.Ticket)
			t.reply(command.Ticket, command)
		case ProbeCmd:
			go t.probe(ctx, t.state.service.Name, command)
		case LimitCmd:
			t.logLimit(command)
		case SpilloverCmd:
			t.logSpillover(command)
		case RolloutCmd:
			t.executeRollout(func(task func() any) { go func() { t.send(task()) }() }, command)
		case VersionsCmd:
			t.logVersions(command)
		}
	}
	if withdrawn, ok := msg.(WithdrawMsg); ok {
		delete(t.replies, withdrawn.Ticket)
	}
}

// updateRank tells the state the server's rank among the owners.
func (t *serviceTask) updateRank(now time.Time) []any {
	if t.server.View == nil || now.Sub(t.rankedAt) < rankInterval {
		return nil
	}
	t.rankedAt = now
	service := t.state.service.Name
	if t.server.Bounds.Rollouts.Enabled() {
		service = t.name // A service with an order need not be in the configuration.
	}
	owners := Ranked(service, t.server.View.View().Serving())
	return t.state.Update(RankMsg{Rank: Rank{
		Further: len(owners) > 0 && owners[0].ID != t.server.Self, Others: len(owners) - 1,
	}, Rollout: t.server.rolloutRank(t.name, owners)}, now)
}

// limitNews returns what the client of the ticket does not know of limits.
func (t *serviceTask) limitNews(ticket string) LimitNews {
	return t.state.limitNews(t.replies[ticket].limitsVersion)
}

func (t *serviceTask) logLimit(command LimitCmd) {
	t.server.Log.Log(logger.EventLimitCounted, logger.Fields{
		"Service": t.state.service.Name, "Target": command.Target, "Limit": command.Limit.String(), "Before": command.Before.String(),
		"ReportedBy": command.ReportedBy, "Alone": t.server.Alone, "Share": t.state.limitShare(),
	})
}

// logLeave logs that a call leaves its caller's zone.
func (t *serviceTask) logLeave(command GrantCmd) {
	if command.Rationale.Left == LeaveNone {
		return
	}
	t.server.Log.Log(logger.EventCallLeavesZone, logger.Fields{
		"Service": t.state.service.Name, "Ticket": command.Ticket, "Zone": command.Rationale.From, "Target": command.Grant.Target.Name,
		"TargetZone": command.Grant.Target.Zone, "Reason": command.Rationale.Left,
	})
}

func (t *serviceTask) logSpillover(command SpilloverCmd) {
	t.server.Log.Log(logger.EventSpilloverShare, logger.Fields{
		"Service": t.state.service.Name, "Zone": command.Zone, "Share": command.Share, "Before": command.Before,
		"Demand": command.Demand, "Capacity": command.Capacity,
	})
}

func (t *serviceTask) reply(ticket string, command any) {
	if reply, ok := t.replies[ticket]; ok {
		reply.channel <- command
		delete(t.replies, ticket)
		return
	}
	if granted, ok := command.(GrantCmd); ok {
		go t.send(ReleaseMsg{Result: hemlocktally.GrantResult{Grant: granted.Grant, Outcome: hemlocktally.AttemptUnused}})
	}
}

func (t *serviceTask) probe(ctx context.Context, service hemlocktally.ServiceName, command ProbeCmd) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := t.server.Prober.Load(ctx, command.Target, command.Path)
	if err != nil {
		t.server.Monitor.Failed(service, command.Target)
		t.server.Log.Log(logger.EventLoadQueryFailed, logger.Fields{
			"Service": service, "Target": command.Target.Name, "Cause": err.Error(),
		})
	}
	if len(answer.Unreadable) > 0 {
		t.server.Log.Log(logger.EventResponseHeaderUnreadable, logger.Fields{"Service": service, "Target": command.Target.Name, "Headers": answer.Unreadable})
	}
	t.send(LoadReportMsg{Target: command.Target.Name, Answer: answer, Failed: err != nil})
}
