package experimenter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassTimes holds the times of calls for each class. It is safe for use by
// several goroutines.
type ClassTimes struct {
	mu         sync.Mutex
	histograms [classCount]*hdrhistogram.Histogram
}

func newClassTimes() *ClassTimes {
	t := &ClassTimes{}
	for i := range t.histograms {
		t.histograms[i] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	return t
}

func (t *ClassTimes) add(class Class, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.histograms[class].RecordValue(d.Microseconds())
}

// Quantile returns a quantile of a class, from 0 to 1.
func (t *ClassTimes) Quantile(class Class, q float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.histograms[class].ValueAtQuantile(q*100)) * time.Microsecond
}
