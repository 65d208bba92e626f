package dispatcher

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"hemlocktally/reserver"
)

const (
	// firstBufferBytes is the size of a body's buffer that is part of the cost of its request.
	firstBufferBytes = 4 << 10
	// growFactor is the factor by which a buffer grows; the old and the new one exist together.
	growFactor = 2
)

// callMemory is what a call has reserved for bodies and responses. It is released when the call
// ends.
type callMemory struct {
	holder *reserver.Holder

	mu    sync.Mutex
	held  int64
	ended bool
}

// reserve reserves memory until the call ends. It returns false if the budget does not allow it,
// or if the call has ended.
func (m *callMemory) reserve(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || !m.holder.TryReserve(n) {
		return false
	}
	m.held += n
	return true
}

// reserveBuffer reserves the buffer with which a body is streamed, if the budget allows it.
// Nothing is refused for its sake: the request may already have run.
func (m *callMemory) reserveBuffer() { _ = m.reserve(streamBufferBytes) }

// reserveHead reserves the memory of a target's head with unusually many fields, if the budget
// allows it. The head is already there, and its request has run: nothing is refused for its sake,
// but new work is.
func (m *callMemory) reserveHead(header http.Header) {
	if cost := int64(len(header)) * reserver.LineCost; cost > reserver.PlainHeadCost {
		_ = m.reserve(cost)
	}
}

// end releases the memory of the call.
func (m *callMemory) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.Release(m.held)
	m.held, m.ended = 0, true
}

// readUpTo reads up to one byte more than the limit. It reports whether the source has ended. If
// the budget allows no larger buffer, it stops early: incomplete, with at most limit bytes. The
// length is the declared one, or -1. With trusted, the buffer has that size from the start;
// otherwise it grows with what arrives.
func (m *callMemory) readUpTo(source io.Reader, length, limit int64, trusted bool) (buffered []byte, complete bool, err error) {
	most := limit + 1
	if length >= 0 && length < most {
		most = length + 1 // The last byte is for the end.
	}
	first := min(most, firstBufferBytes)
	if trusted && length >= 0 && first < most && m.reserve(most) {
		first = most
	}
	buffered = make([]byte, 0, first)
	for int64(len(buffered)) < limit+1 {
		if len(buffered) == cap(buffered) {
			size := min(growFactor*int64(cap(buffered)), max(most, int64(cap(buffered))+firstBufferBytes), limit+1)
			if !m.reserve(size) {
				return buffered, false, nil
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		n, err := source.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) {
			return buffered, true, nil
		}
		if err != nil {
			return buffered, false, err
		}
	}
	return buffered, false, nil
}
