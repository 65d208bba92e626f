package limiter

import "time"

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 50
	// ringSize includes the bucket that is being filled, so that a call is counted for at least
	// the whole window.
	ringSize = bucketCount + 1
	// reportSlots is the number of slots in a report of a window.
	reportSlots    = 10
	bucketsPerSlot = bucketCount / reportSlots
)

// window counts events in the last buckets. Buckets are numbered from the start of the State.
type window struct {
	counts [ringSize]uint32
	head   int64 // head is the number of the newest bucket.
	sum    int
}

func position(bucket int64) int64 { return ((bucket % ringSize) + ringSize) % ringSize }

// advance drops the buckets that are too old at the given bucket.
func (w *window) advance(bucket int64) {
	if bucket-w.head >= ringSize {
		*w = window{head: bucket}
		return
	}
	for w.head < bucket {
		w.head++
		w.sum -= int(w.counts[position(w.head)])
		w.counts[position(w.head)] = 0
	}
}

// count returns the number of events that are not too old at the given bucket.
func (w *window) count(bucket int64) int {
	w.advance(bucket)
	return w.sum
}

// add counts events in a bucket.
func (w *window) add(bucket int64, n uint32) {
	w.advance(bucket)
	if w.head-bucket >= ringSize {
		return
	}
	w.counts[position(bucket)] += n
	w.sum += int(n)
}

// remove takes back one event of a bucket; it reports false if that is too old.
func (w *window) remove(bucket int64) bool {
	if w.head-bucket >= ringSize || bucket > w.head || w.counts[position(bucket)] == 0 {
		return false
	}
	w.counts[position(bucket)]--
	w.sum--
	return true
}

// at returns the count of the bucket that is the given number of buckets older than the newest.
func (w *window) at(age int64) int { return int(w.counts[position(w.head-age)]) }

// latest returns the count of the newest buckets.
func (w *window) latest(buckets int64) int {
	n := 0
	for age := range buckets {
		n += w.at(age)
	}
	return n
}

// report returns the counts by slots, the newest first, without zeros at the end.
func (w *window) report(bucket int64) []uint32 {
	w.advance(bucket)
	var slots [reportSlots]uint32
	used := 0
	for age := range int64(ringSize) {
		slot := min(reportSlots-1, age/bucketsPerSlot)
		slots[slot] += uint32(w.at(age))
		if slots[slot] > 0 {
			used = int(slot) + 1
		}
	}
	return append([]uint32(nil), slots[:used]...)
}

// load replaces the window by a report. Each slot is spread over its buckets; what is left over
// goes to the newest of them, so that no event is dropped too early.
func (w *window) load(slots []uint32, bucket int64) {
	*w = window{head: bucket}
	for i, n := range slots[:min(len(slots), reportSlots)] {
		newest := bucket - int64(i*bucketsPerSlot)
		for age := range int64(bucketsPerSlot) {
			w.counts[position(newest-age)] = n / bucketsPerSlot
		}
		w.counts[position(newest)] += n % bucketsPerSlot
		w.sum += int(n)
	}
}

// bucketWidth returns the duration of one bucket.
func (b Bounds) bucketWidth() time.Duration { return b.Window / bucketCount }
