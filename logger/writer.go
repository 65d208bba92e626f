package logger

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a Writer.
const (
	defaultLinesPerSecond = 400
	queuedLines           = 1024
	reportInterval        = time.Second
	flushTimeout          = 200 * time.Millisecond
)

// Writer queues lines for another writer and never blocks the code that logs:
// lines beyond the rate limit, and those that find the queue full because the
// output is not being read, are dropped and counted. Run writes the queued lines.
type Writer struct {
	Out io.Writer

	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// NewWriter returns a Writer that writes to out. Zero or fewer lines per second
// mean 400.
func NewWriter(out io.Writer, linesPerSecond float64) *Writer {
	if linesPerSecond <= 0 {
		linesPerSecond = defaultLinesPerSecond
	}
	return &Writer{
		Out: out, queue: make(chan []byte, queuedLines),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), int(linesPerSecond)),
	}
}

// Write queues a copy of one line, or drops it. It never returns an error.
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

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes the queued lines until ctx is done, and then flushes the queue for
// at most flushTimeout. Every second it logs how many lines were dropped, if any.
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
			w.writeLine(line)
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
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line. A line that can't be written is counted as dropped,
// since the log is the only place to report the error.
func (w *Writer) writeLine(line []byte) {
	if _, err := w.Out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
