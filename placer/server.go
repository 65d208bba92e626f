package placer

import (
	"context"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// Loads asks targets for their load.
type Loads interface {
	// Load returns what the target says of itself.
	Load(ctx context.Context, target hemlocktally.Target, path string) (hemlocktally.AnswerHeader, error)
}

// Server runs the state of each service that is asked for. Its fields are set
// before Run.
type Server struct {
	Self   hemlocktally.InstanceID
	Epoch  string
	Bounds Bounds
	Loads  Loads
	Log    logger.Logger
	// Alone is set on the server that decides for its own instance only.
	Alone bool
	// Needed is called whenever the server is asked; it may be nil.
	Needed func()
	// Known returns when the list of targets was last read, and whether it can be
	// read at all now; nil means that the list is always new.
	Known func() (at time.Time, readable bool)

	mu       sync.Mutex
	ctx      context.Context //nolint:containedctx // The tasks end with the run, not with one question.
	services map[hemlocktally.ServiceName]*serviceTask
	latest   map[hemlocktally.ServiceName]TargetsMsg
	leaving  bool
	noWait   time.Time // noWait is until when no question waits for a newer list.
}

const (
	serviceInbox = 256
	waitTick     = 5 * time.Millisecond // waitTick is the time between two checks of the queue while calls wait.
	idleTick     = 500 * time.Millisecond
	probeTimeout = 60 * time.Millisecond // probeTimeout bounds a question about load, a new connection included.
	holdAnswer   = 20 * time.Millisecond // holdAnswer is how long a question is kept before it is told to ask again.
	// listLasts is how old the list of targets may be for a choice: targets that
	// leave have to be left within two seconds.
	listLasts = 1400 * time.Millisecond
	// listOldest is how old the list may be at all while it can be read.
	listOldest = 2 * time.Second
	listWait   = 30 * time.Millisecond  // listWait is how long a question waits for a newer list: less than an asker waits for its answer.
	aloneList  = 300 * time.Millisecond // aloneList is how long one that is decided alone waits: a hub may have to read the list first.
	listPause  = 2 * time.Second        // listPause is how long no question waits after one has waited in vain, as with a slow store.
	listLook   = 2 * time.Millisecond
)

// serviceTask owns the state of one service.
type serviceTask struct {
	server  *Server
	state   State
	inbox   chan any
	ended   chan struct{}       // ended is closed when nobody reads the inbox any more.
	waiting map[string]chan any // waiting holds where to answer each ticket.
}

// question is an AskMsg with the place for its answer.
type question struct {
	AskMsg
	answer chan any
}

// Run keeps the context of the tasks until it ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	<-ctx.Done()
	return nil
}

// Leave lets the server refuse further questions of other instances.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Able reports whether the server can decide for the service on behalf of
// others: it is not leaving and knows targets. An instance that has just
// started while the store is down knows none.
func (s *Server) Able(service hemlocktally.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx != nil && !s.leaving && len(s.latest[service].Targets) > 0
}

// becomesAble reports whether the server can decide for the service, and waits a
// moment where it may be so soon: an owner that nobody has asked yet has not read the
// targets.
func (s *Server) becomesAble(ctx context.Context, service hemlocktally.ServiceName) bool {
	if s.Able(service) {
		return true
	}
	if s.Needed == nil || s.isLeaving() {
		return false
	}
	s.Needed()
	return s.awaitAble(ctx, service, listWait, listLook)
}

// awaitAble waits until the server can decide for the service, at most for the wait,
// and reports whether it can.
func (s *Server) awaitAble(ctx context.Context, service hemlocktally.ServiceName, wait, pause time.Duration) bool {
	for end := time.Now().Add(wait); !s.Able(service); time.Sleep(pause) {
		if ctx.Err() != nil || time.Now().After(end) {
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

// Configure tells each service its targets.
func (s *Server) Configure(services map[hemlocktally.ServiceName]TargetsMsg) {
	s.mu.Lock()
	s.latest = services
	tasks := make(map[hemlocktally.ServiceName]*serviceTask, len(s.services))
	for name, task := range s.services {
		tasks[name] = task
	}
	s.mu.Unlock()
	for name, task := range tasks {
		task.tell(services[name])
	}
}

// task returns the task of the service, started where it was not.
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
		server: s, inbox: make(chan any, serviceInbox), ended: make(chan struct{}), waiting: map[string]chan any{},
		state: State{Owner: s.Self, Epoch: s.Epoch, Alone: s.Alone, Bounds: s.Bounds},
	}
	if s.services == nil {
		s.services = map[hemlocktally.ServiceName]*serviceTask{}
	}
	s.services[service] = t
	t.tell(s.latest[service])
	go t.run(s.ctx)
	return t
}

// tell hands a message to the task; it waits where the task is behind, and drops
// what comes after its end.
func (t *serviceTask) tell(msg any) {
	select {
	case t.inbox <- msg:
	case <-t.ended:
	}
}

// Ask puts the question and returns a GrantCmd, a RefuseCmd or a HoldCmd.
func (s *Server) Ask(ctx context.Context, msg AskMsg) any {
	task := s.task(msg.Request.Service)
	if task == nil {
		return RefuseCmd{Ticket: msg.Ticket, Error: notRun(hemlocktally.ReasonStarting, "the instance is starting", leastAdvice)}
	}
	if !s.prepare(ctx) {
		return RefuseCmd{Ticket: msg.Ticket, Error: notRun(hemlocktally.ReasonNoTarget, "the list of targets is too old to choose by", leastAdvice)}
	}
	msg.Hold = time.Now().Add(holdAnswer)
	q := question{AskMsg: msg, answer: make(chan any, 1)}
	task.tell(q)
	select {
	case answer := <-q.answer:
		return answer
	case <-ctx.Done():
	}
	task.tell(LeaveMsg{Ticket: msg.Ticket})
	select {
	case answer := <-q.answer:
		// The answer crossed the withdrawal.
		if granted, ok := answer.(GrantCmd); ok {
			s.End(hemlocktally.GrantResult{Grant: granted.Grant, Outcome: hemlocktally.AttemptUnused})
		}
	default:
	}
	return RefuseCmd{Ticket: msg.Ticket, Error: notRun(hemlocktally.ReasonCallerCancelled, "the question was withdrawn", 0)}
}

// prepare readies the list of targets for a choice. It reports whether one may be
// made: a list that is old although it could be read may name targets that left.
func (s *Server) prepare(ctx context.Context) bool {
	if s.Needed != nil {
		s.Needed()
	}
	s.awaitList(ctx)
	if s.Known == nil {
		return true
	}
	at, readable := s.Known()
	return !readable || time.Since(at) < listOldest
}

// awaitList waits for a new list of targets where the one at hand is old: an
// instance that has placed no work for a while reads it rarely or not at all.
// While the store does not answer, the old list has to do.
func (s *Server) awaitList(ctx context.Context) {
	if s.Known == nil {
		return
	}
	wait := listWait
	if s.Alone {
		wait = aloneList
	}
	for end := time.Now().Add(wait); ctx.Err() == nil; time.Sleep(listLook) {
		at, readable := s.Known()
		now := time.Now()
		if !readable || now.Sub(at) < listLasts || s.waitedInVain(now, end) {
			return
		}
	}
}

// waitedInVain reports whether a question has waited, or another one lately.
func (s *Server) waitedInVain(now, end time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(end) {
		s.noWait = now.Add(listPause)
	}
	return now.Before(s.noWait)
}

// End gives a turn back.
func (s *Server) End(result hemlocktally.GrantResult) {
	if task := s.task(result.Grant.Service); task != nil {
		task.tell(EndMsg{Result: result})
	}
}

// run owns the state until the context ends.
func (t *serviceTask) run(ctx context.Context) {
	defer close(t.ended)
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
		if t.state.Waiting() > 0 {
			timer.Reset(waitTick)
		} else {
			timer.Reset(idleTick)
		}
	}
}

func (t *serviceTask) step(ctx context.Context, msg any) {
	if call, ok := msg.(statsCall); ok {
		call.answer <- t.state.Stats(time.Now())
		return
	}
	if q, ok := msg.(question); ok {
		t.waiting[q.Ticket] = q.answer
		msg = q.AskMsg
	}
	for _, command := range t.state.Update(msg, time.Now()) {
		switch command := command.(type) {
		case GrantCmd:
			t.answer(command.Ticket, command)
		case RefuseCmd:
			t.answer(command.Ticket, command)
		case HoldCmd:
			t.answer(command.Ticket, command)
		case ProbeCmd:
			go t.probe(ctx, t.state.service.Name, command)
		}
	}
	if left, ok := msg.(LeaveMsg); ok {
		delete(t.waiting, left.Ticket)
	}
}

func (t *serviceTask) answer(ticket string, command any) {
	if waiting := t.waiting[ticket]; waiting != nil {
		waiting <- command
		delete(t.waiting, ticket)
		return
	}
	if granted, ok := command.(GrantCmd); ok {
		go t.tell(EndMsg{Result: hemlocktally.GrantResult{Grant: granted.Grant, Outcome: hemlocktally.AttemptUnused}})
	}
}

func (t *serviceTask) probe(ctx context.Context, service hemlocktally.ServiceName, command ProbeCmd) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := t.server.Loads.Load(ctx, command.Target, command.Path)
	if err != nil {
		t.server.Log.Log(logger.EventTargetSilent, logger.Fields{
			"Service": service, "Target": command.Target.Name, "Cause": err.Error(),
		})
	}
	t.tell(LoadMsg{Target: command.Target.Name, Answer: answer, Failed: err != nil})
}
