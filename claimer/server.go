package claimer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Server runs the State of one holder: it feeds messages to it and carries out its
// commands. It implements messenger.Claims. The exported fields must be set before
// Run and not changed afterwards.
type Server struct {
	Self    hemlocktally.Instance
	Store   hemlocktally.Store
	Leaser  hemlocktally.LeaseHolder
	Members hemlocktally.ViewSource
	HTTP    *http.Client // HTTP is the client for requests to peers.
	Log     logger.Logger
	Limits  Limits

	once             sync.Once
	inbox            chan Msg
	leaveDone        chan struct{}
	leaveDoneOnce    sync.Once
	tasks            sync.WaitGroup
	table            atomic.Pointer[Table]
	held             atomic.Int64
	brokenInvariants atomic.Uint64
	lastRequestID    atomic.Uint64
	mu               sync.Mutex
	replies          map[RequestID]chan Cmd
	peers            map[string]messenger.Claims
}

const (
	tickInterval = 20 * time.Millisecond
	inboxSize    = 1024
)

func (s *Server) init() {
	s.once.Do(func() {
		s.inbox = make(chan Msg, inboxSize)
		s.leaveDone = make(chan struct{})
		s.replies = map[RequestID]chan Cmd{}
		s.peers = map[string]messenger.Claims{}
		s.table.Store(&Table{})
	})
}

// Table returns the newest table that the instance has seen, or an empty one before
// the first listing.
func (s *Server) Table() Table {
	s.init()
	return *s.table.Load()
}

// HeldRanges returns how many ranges the instance held at the last update.
func (s *Server) HeldRanges() int { return int(s.held.Load()) }

// BrokenInvariants returns how many violations of an invariant were detected.
func (s *Server) BrokenInvariants() uint64 { return s.brokenInvariants.Load() }

// Ready reports whether every range has been assigned to a holder at least once.
func (s *Server) Ready() bool {
	table := s.Table()
	for _, a := range table.Assignments {
		if a.Epoch == 0 {
			return false
		}
	}
	return true
}

// Run takes part in holding ranges until the context ends, then returns nil.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	defer s.tasks.Wait()
	s.tasks.Go(func() { s.watch(ctx) })
	state := &State{Self: s.Self, Limits: s.Limits, NewID: func() string { return ulid.Make().String() }}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-s.inbox:
			s.update(ctx, state, msg)
		case <-ticker.C:
			s.update(ctx, state, s.leaseMsg())
			s.update(ctx, state, MembersMsg{Serving: s.Members.View().Serving()})
			s.update(ctx, state, TickMsg{})
		}
	}
}

func (s *Server) leaseMsg() LeaseMsg {
	id, end, ok := s.Leaser.Lease()
	if !ok {
		return LeaseMsg{}
	}
	return LeaseMsg{ID: id, End: end}
}

func (s *Server) update(ctx context.Context, state *State, msg Msg) {
	now := time.Now()
	cmds := state.Update(msg, now)
	if table := state.Table(); table.Version != s.table.Load().Version {
		s.table.Store(&table)
	}
	s.held.Store(int64(state.Held(now)))
	for _, cmd := range cmds {
		s.execute(ctx, cmd)
	}
}

// execute carries out one command. Commands that wait for the store or for peers
// run in goroutines of their own.
func (s *Server) execute(ctx context.Context, cmd Cmd) {
	switch c := cmd.(type) {
	case AnswerCmd:
		s.reply(c.RequestID, c)
	case RecordedCmd:
		s.reply(c.RequestID, c)
	case AcceptCmd:
		s.reply(c.RequestID, c)
	case MarkCmd:
		s.tasks.Go(func() { s.mark(ctx, c) })
	case SwapCmd:
		s.tasks.Go(func() { s.swap(ctx, c) })
	case RefreshCmd:
		s.tasks.Go(func() { s.refresh(ctx) })
	case TransferCmd:
		s.tasks.Go(func() { s.sendTransfer(ctx, c) })
	case ConfirmCmd:
		s.tasks.Go(func() { s.sendConfirm(ctx, c) })
	case RangeEventCmd:
		s.logRangeEvent(c)
	case InvariantCmd:
		s.brokenInvariants.Add(1)
		s.Log.Log(logger.EventClaimInvariant, logger.Fields{"Instance": s.Self.ID, "Detail": c.Detail})
	case LeftCmd:
		s.leaveDoneOnce.Do(func() { close(s.leaveDone) })
	}
}

func (s *Server) logRangeEvent(c RangeEventCmd) {
	event := map[RangeEvent]logger.Event{
		RangeTaken: logger.EventClaimsTaken, RangeReceived: logger.EventClaimsReceived, RangeResumed: logger.EventClaimsResumed,
		RangeHandedOver: logger.EventClaimsHandedOver, RangeHandOverFailed: logger.EventClaimsHandOverFailed,
		RangeLost: logger.EventClaimsLost,
	}[c.Kind]
	s.Log.Log(event, logger.Fields{"Instance": s.Self.ID, "Ranges": c.Ranges, "Detail": c.Detail})
}

// Leave hands all ranges over before a planned stop. It returns once this instance
// holds no range, no member can take the rest, or the context ends.
func (s *Server) Leave(ctx context.Context) {
	s.init()
	s.send(ctx, LeaveMsg{})
	select {
	case <-s.leaveDone:
	case <-ctx.Done():
	}
}

func (s *Server) send(ctx context.Context, msg Msg) {
	select {
	case s.inbox <- msg:
	case <-ctx.Done():
	}
}

func (s *Server) reply(requestID RequestID, cmd Cmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, ok := s.replies[requestID]; ok {
		reply <- cmd // The channel is buffered for its only answer.
		delete(s.replies, requestID)
	}
}

// request sends a message to the state and waits for its answer. If the context
// ends first, the request is cancelled and the context's error is returned.
func (s *Server) request(ctx context.Context, msg func(RequestID) Msg) (Cmd, error) {
	s.init()
	requestID := RequestID(s.lastRequestID.Add(1))
	reply := make(chan Cmd, 1)
	s.mu.Lock()
	s.replies[requestID] = reply
	s.mu.Unlock()
	s.send(ctx, msg(requestID))
	select {
	case cmd := <-reply:
		return cmd, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.replies, requestID)
	s.mu.Unlock()
	select {
	case s.inbox <- CancelMsg{RequestID: requestID}:
	default:
	}
	return nil, ctx.Err()
}

// beginLocal claims the key from this instance's own state.
func (s *Server) beginLocal(ctx context.Context, request hemlocktally.ClaimRequest, waitUntil time.Time) (AnswerCmd, error) {
	cmd, err := s.request(ctx, func(a RequestID) Msg { return BeginMsg{RequestID: a, Request: request, WaitUntil: waitUntil} })
	if err != nil {
		return AnswerCmd{}, err
	}
	out, _ := cmd.(AnswerCmd)
	if out.Claim.Verdict == hemlocktally.ClaimRun && !time.Now().Before(out.Claim.Fence) {
		// The process was paused between the decision and this check.
		out.Claim = refused("the lease on the key's range has expired")
	}
	out.Claim.Request = request
	if out.Claim.Holder == "" {
		out.Claim.Holder = s.Self.ID
	}
	return out, nil
}

func (s *Server) finishLocal(ctx context.Context, msg FinishMsg) (RecordedCmd, error) {
	cmd, err := s.request(ctx, func(a RequestID) Msg { msg.RequestID = a; return msg })
	out, _ := cmd.(RecordedCmd)
	return out, err
}

func (s *Server) peer(address string) messenger.Claims {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[address]; ok {
		return p
	}
	p := messenger.NewClaimsProtobufClient("http://"+address, s.HTTP)
	s.peers[address] = p
	return p
}
