package logger

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of what a Writer takes.
const (
	defaultLinesPerSecond = 400
	queuedLines           = 1024
	reportInterval        = time.Second
	flushTimeout          = 200 * time.Millisecond
)

// Writer passes lines on to another writer without ever blocking whoever logs:
// lines beyond the budget, and those that find the queue full because nobody
// reads, are dropped and counted. Run writes them.
type Writer struct {
	Out io.Writer

	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// NewWriter returns a writer in front of another. A budget of zero means 400
// lines a second.
func NewWriter(out io.Writer, linesPerSecond float64) *Writer {
	if linesPerSecond <= 0 {
		linesPerSecond = defaultLinesPerSecond
	}
	return &Writer{
		Out: out, queue: make(chan []byte, queuedLines),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), int(linesPerSecond)),
	}
}

// Write queues one line.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes the queued lines until the context ends, and then what is left for
// a moment. Each second in which lines were dropped it writes how many.
func (w *Writer) Run(ctx context.Context, log Logger) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case line := <-w.queue:
			w.pass(line)
		case <-ticker.C:
			if dropped := w.Dropped(); dropped > reported {
				log.Log(EventLinesDropped, Fields{"Lines": dropped - reported, "Total": dropped})
				reported = dropped
			}
		}
	}
}

func (w *Writer) flush() {
	for end := time.Now().Add(flushTimeout); time.Now().Before(end); {
		select {
		case line := <-w.queue:
			w.pass(line)
		default:
			return
		}
	}
}

// pass writes a line; one that can't be written is counted as dropped, for there
// is nowhere else to tell of it.
func (w *Writer) pass(line []byte) {
	if _, err := w.Out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
