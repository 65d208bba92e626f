package dispatcher

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"hemlocktally/logger"
)

// Limits of the large responses that are held in memory until they are complete.
const (
	maxHeldResponseBytes = 8 << 20  // maxHeldResponseBytes limits one response.
	maxHeldBytes         = 32 << 20 // maxHeldBytes limits all of them together.
)

// streamingWriter is a response writer of a connection on which later requests may already
// be served.
type streamingWriter interface {
	// BeginStream reports whether a response may be written before it is complete.
	BeginStream() bool
}

// heldBytes counts the memory of the responses that are held. Its zero value works.
type heldBytes struct{ count atomic.Int64 }

// reserve reserves memory for a response of the given size and returns how to release it. It
// returns nil if the response is too large or the memory is used up.
func (h *heldBytes) reserve(size int64) (release func()) {
	if size > maxHeldResponseBytes {
		return nil
	}
	if h.count.Add(size) > maxHeldBytes {
		h.count.Add(-size)
		return nil
	}
	return func() { h.count.Add(-size) }
}

// remainingBody returns the body of a response behind its buffered part, and a function to
// call when it is no longer needed. While later requests of the caller's connection are being
// served, the body is first read completely: if it broke off while it is streamed, the
// connection would have to be closed, and the responses to those requests would be lost.
func (a *attempt) remainingBody(response *http.Response, buffered int) (rest io.Reader, release func(), err error) {
	streamed := func() {}
	writer, ok := a.call.writer.(streamingWriter)
	if !ok || writer.BeginStream() {
		return response.Body, streamed, nil
	}
	size := int64(maxHeldResponseBytes)
	if response.ContentLength >= 0 {
		size = response.ContentLength - int64(buffered)
	}
	d := a.call.dispatcher
	release = d.held.reserve(size)
	if release != nil && !a.call.memory.reserve(growFactor*size) {
		release()
		release = nil
	}
	if release == nil {
		d.Log.Log(logger.EventResponseNotHeld, logger.Fields{"Call": a.call.record.Call, "Target": a.grant.Target.Name, "Bytes": size})
		return response.Body, streamed, nil
	}
	held, err := io.ReadAll(io.LimitReader(response.Body, size))
	if err != nil {
		release()
		return nil, nil, err
	}
	return io.MultiReader(bytes.NewReader(held), response.Body), release, nil
}
