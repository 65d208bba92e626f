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

// Server is the task around the state of one holder. It implements
// messenger.Claims. Its fields are set before Run.
type Server struct {
	Self    hemlocktally.Instance
	Store   hemlocktally.Store
	Leaser  hemlocktally.Leaser
	Members hemlocktally.Viewer
	HTTP    *http.Client // HTTP reaches the peers.
	Log     logger.Logger
	Limits  Limits

	once     sync.Once
	inbox    chan Msg
	left     chan struct{}
	leftOnce sync.Once
	tasks    sync.WaitGroup
	table    atomic.Pointer[Table]
	held     atomic.Int64
	broken   atomic.Uint64
	asked    atomic.Uint64
	mu       sync.Mutex
	replies  map[Asker]chan Cmd
	peers    map[string]messenger.Claims
}

const (
	tickInterval = 20 * time.Millisecond
	inboxSize    = 1024
)

func (s *Server) init() {
	s.once.Do(func() {
		s.inbox = make(chan Msg, inboxSize)
		s.left = make(chan struct{})
		s.replies = map[Asker]chan Cmd{}
		s.peers = map[string]messenger.Claims{}
		s.table.Store(&Table{})
	})
}

// Table returns the newest table that the instance has seen.
func (s *Server) Table() Table {
	s.init()
	return *s.table.Load()
}

// Held returns how many ranges the instance holds.
func (s *Server) Held() int { return int(s.held.Load()) }

// Broken returns how many times an invariant was found broken.
func (s *Server) Broken() uint64 { return s.broken.Load() }

// Ready reports whether every range has had a holder.
func (s *Server) Ready() bool {
	table := s.Table()
	for _, a := range table.Assignments {
		if a.Epoch == 0 {
			return false
		}
	}
	return true
}

// Run holds ranges until the context ends.
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
		s.do(ctx, cmd)
	}
}

// do carries out one command. What waits for others runs beside the task.
func (s *Server) do(ctx context.Context, cmd Cmd) {
	switch c := cmd.(type) {
	case AnswerCmd:
		s.reply(c.Asker, c)
	case RecordedCmd:
		s.reply(c.Asker, c)
	case AcceptCmd:
		s.reply(c.Asker, c)
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
	case NoteCmd:
		s.note(c)
	case InvariantCmd:
		s.broken.Add(1)
		s.Log.Log(logger.EventClaimInvariant, logger.Fields{"Instance": s.Self.ID, "Detail": c.Detail})
	case LeftCmd:
		s.leftOnce.Do(func() { close(s.left) })
	}
}

func (s *Server) note(c NoteCmd) {
	event := map[NoteKind]logger.Event{
		NoteTaken: logger.EventClaimsTaken, NoteReceived: logger.EventClaimsReceived, NoteResumed: logger.EventClaimsResumed,
		NoteHandedOver: logger.EventClaimsHandedOver, NoteHandOverFailed: logger.EventClaimsHandOverFailed,
		NoteLost: logger.EventClaimsLost,
	}[c.Kind]
	s.Log.Log(event, logger.Fields{"Instance": s.Self.ID, "Ranges": c.Ranges, "Detail": c.Detail})
}

// Leave hands all ranges over before a planned stop. It returns once no range
// is left here or the context ends.
func (s *Server) Leave(ctx context.Context) {
	s.init()
	s.send(ctx, LeaveMsg{})
	select {
	case <-s.left:
	case <-ctx.Done():
	}
}

func (s *Server) send(ctx context.Context, msg Msg) {
	select {
	case s.inbox <- msg:
	case <-ctx.Done():
	}
}

func (s *Server) reply(asker Asker, cmd Cmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, ok := s.replies[asker]; ok {
		reply <- cmd // The channel has room for the one answer.
		delete(s.replies, asker)
	}
}

// ask sends a message that the state answers, and waits for the answer.
func (s *Server) ask(ctx context.Context, msg func(Asker) Msg) (Cmd, error) {
	s.init()
	asker := Asker(s.asked.Add(1))
	reply := make(chan Cmd, 1)
	s.mu.Lock()
	s.replies[asker] = reply
	s.mu.Unlock()
	s.send(ctx, msg(asker))
	select {
	case cmd := <-reply:
		return cmd, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.replies, asker)
	s.mu.Unlock()
	select {
	case s.inbox <- CancelMsg{Asker: asker}:
	default:
	}
	return nil, ctx.Err()
}

// beginHere asks the state of this instance.
func (s *Server) beginHere(ctx context.Context, request hemlocktally.ClaimRequest, waitUntil time.Time) (AnswerCmd, error) {
	cmd, err := s.ask(ctx, func(a Asker) Msg { return BeginMsg{Asker: a, Request: request, WaitUntil: waitUntil} })
	if err != nil {
		return AnswerCmd{}, err
	}
	out, _ := cmd.(AnswerCmd)
	if out.Claim.Verdict == hemlocktally.ClaimRun && !time.Now().Before(out.Claim.Fence) {
		// The instance was paused between the decision and now.
		out.Claim = refused("the lease of the key's range ended")
	}
	out.Claim.Request = request
	if out.Claim.Holder == "" {
		out.Claim.Holder = s.Self.ID
	}
	return out, nil
}

func (s *Server) finishHere(ctx context.Context, msg FinishMsg) (RecordedCmd, error) {
	cmd, err := s.ask(ctx, func(a Asker) Msg { msg.Asker = a; return msg })
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
