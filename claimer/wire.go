package claimer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"hemlocktally"
	"hemlocktally/messenger"
)

const (
	transferTimeout = time.Second
	confirmTimeout  = time.Second
)

// Begin handles a peer's request to run a call under a key.
func (s *Server) Begin(ctx context.Context, in *messenger.BeginRequest) (*messenger.BeginResponse, error) {
	now := time.Now()
	out, err := s.beginLocal(ctx, hemlocktally.ClaimRequest{
		Call: hemlocktally.CallID(in.Call), Caller: hemlocktally.CallerName(in.Caller),
		Contract: hemlocktally.ContractName(in.Contract), Key: in.Key, Digest: in.Digest,
		Deadline: now.Add(messenger.Duration(in.DeadlineMicroseconds)),
	}, now.Add(messenger.Duration(in.WaitMicroseconds)))
	if err != nil {
		return nil, twirp.NewError(twirp.Canceled, "the wait for an answer was cancelled")
	}
	claim := out.Claim
	response := &messenger.BeginResponse{
		Verdict: string(claim.Verdict), Detail: claim.Detail, Epoch: claim.Epoch, Holder: string(claim.Holder), Moved: out.Moved,
		Kept: encodeAnswer(claim.Response), RetryAfterMicroseconds: claim.RetryAfter.Microseconds(),
	}
	if claim.Verdict == hemlocktally.ClaimRun {
		response.FenceMicroseconds = time.Until(claim.Fence).Microseconds()
	}
	return response, nil
}

// Finish handles a peer's report of a call's outcome.
func (s *Server) Finish(ctx context.Context, in *messenger.FinishRequest) (*messenger.FinishResponse, error) {
	out, err := s.finishLocal(ctx, FinishMsg{
		Call: hemlocktally.CallID(in.Call), Digest: in.Digest, Outcome: hemlocktally.Outcome(in.Outcome), Kept: decodeAnswer(in.Kept),
		Key: KeyID{Caller: hemlocktally.CallerName(in.Caller), Contract: hemlocktally.ContractName(in.Contract), Key: in.Key},
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Canceled, "the wait for an answer was cancelled")
	}
	return &messenger.FinishResponse{Recorded: out.Recorded, Moved: out.Moved, Holder: string(out.Holder)}, nil
}

// Transfer handles the records that another holder sends.
func (s *Server) Transfer(ctx context.Context, in *messenger.TransferRequest) (*messenger.TransferResponse, error) {
	now := time.Now()
	ranges := make([]RangeRecords, 0, len(in.Ranges))
	for _, r := range in.Ranges {
		if r.Range < 0 || r.Range >= Ranges {
			return nil, twirp.InvalidArgumentError("Range", "is not a valid range of keys")
		}
		ranges = append(ranges, decodeRange(r, now))
	}
	cmd, err := s.request(ctx, func(a RequestID) Msg {
		return TransferMsg{RequestID: a, ID: in.ID, From: hemlocktally.InstanceID(in.From), Ranges: ranges}
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Canceled, "the wait for an answer was cancelled")
	}
	out, _ := cmd.(AcceptCmd)
	return &messenger.TransferResponse{
		Accepted: out.Accepted, Incarnation: s.Self.Incarnation, Lease: out.Lease, Detail: out.Detail,
	}, nil
}

// Confirm handles a table that a peer has written to the store.
func (s *Server) Confirm(ctx context.Context, in *messenger.ConfirmRequest) (*messenger.ConfirmResponse, error) {
	table, err := DecodeTable(in.Table, hemlocktally.StoreVersion(in.Version))
	if err != nil {
		return nil, twirp.InvalidArgumentError("Table", err.Error())
	}
	s.init()
	s.send(ctx, TableMsg{Table: table})
	return &messenger.ConfirmResponse{}, nil
}

func (s *Server) sendTransfer(ctx context.Context, c TransferCmd) {
	ctxCall, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	now := time.Now()
	in := &messenger.TransferRequest{ID: c.ID, From: string(s.Self.ID)}
	for i := range c.Ranges {
		in.Ranges = append(in.Ranges, encodeRange(c.Ranges[i], now))
	}
	msg := TransferredMsg{ID: c.ID}
	if out, err := s.peer(c.To.PeerAddress).Transfer(ctxCall, in); err == nil {
		msg.Accepted, msg.Incarnation, msg.Lease = out.Accepted, out.Incarnation, out.Lease
	}
	s.send(ctx, msg)
}

func (s *Server) sendConfirm(ctx context.Context, c ConfirmCmd) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	value, err := c.Table.Encode()
	if err != nil {
		return
	}
	// If the message is lost, the next holder gets the table from its watch.
	_, _ = s.peer(c.To.PeerAddress).Confirm(ctx, &messenger.ConfirmRequest{Table: value, Version: uint64(c.Table.Version)})
}

func encodeAnswer(kept *hemlocktally.StoredResponse) *messenger.Answer {
	if kept == nil {
		return nil
	}
	out := &messenger.Answer{Status: int32(kept.Status), Body: kept.Body}
	for name, values := range kept.Header {
		out.Headers = append(out.Headers, &messenger.Header{Name: name, Values: values})
	}
	return out
}

func decodeAnswer(in *messenger.Answer) *hemlocktally.StoredResponse {
	if in == nil {
		return nil
	}
	out := &hemlocktally.StoredResponse{Status: int(in.Status), Body: in.Body, Header: http.Header{}}
	for _, h := range in.Headers {
		out.Header[h.Name] = h.Values
	}
	return out
}

func toUnixMicroseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func fromUnixMicroseconds(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMicro(n)
}

func encodeRange(r RangeRecords, now time.Time) *messenger.RangeRecords {
	out := &messenger.RangeRecords{
		Range: int32(r.Range), Epoch: r.Epoch,
		HorizonMicroseconds: toUnixMicroseconds(r.Horizon), TaintEndMicroseconds: toUnixMicroseconds(r.TaintEnd),
	}
	for i := range r.Records {
		record := &r.Records[i]
		out.Records = append(out.Records, &messenger.ClaimRecord{
			Caller: string(record.Key.Caller), Contract: string(record.Key.Contract), Key: record.Key.Key,
			Digest: record.Digest, Call: string(record.Call), State: string(record.State),
			FenceMicroseconds: record.Fence.Sub(now).Microseconds(), AgeMicroseconds: now.Sub(record.Created).Microseconds(),
			Kept: encodeAnswer(record.Kept),
		})
	}
	return out
}

func decodeRange(in *messenger.RangeRecords, now time.Time) RangeRecords {
	out := RangeRecords{
		Range: RangeID(in.Range), Epoch: in.Epoch,
		Horizon: fromUnixMicroseconds(in.HorizonMicroseconds), TaintEnd: fromUnixMicroseconds(in.TaintEndMicroseconds),
	}
	for _, r := range in.Records {
		out.Records = append(out.Records, Record{
			Key:    KeyID{Caller: hemlocktally.CallerName(r.Caller), Contract: hemlocktally.ContractName(r.Contract), Key: r.Key},
			Digest: r.Digest, Call: hemlocktally.CallID(r.Call), State: RecordState(r.State),
			Fence: now.Add(messenger.Duration(r.FenceMicroseconds)), Created: now.Add(-messenger.Duration(r.AgeMicroseconds)), Kept: decodeAnswer(r.Kept),
		})
	}
	return out
}
