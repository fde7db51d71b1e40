package metrics

import (
	"sync/atomic"
	"time"
)

// bucketBounds are the upper bounds of all histograms but the last bucket, which has none.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// Histogram counts durations by size. The zero value is empty and ready. All methods may be called by any goroutine.
type Histogram struct {
	buckets   [len(bucketBounds) + 1]atomic.Int64
	sumMicros atomic.Int64
}

// Observe counts a duration.
func (h *Histogram) Observe(duration time.Duration) {
	bucket := 0
	for bucket < len(bucketBounds) && duration > bucketBounds[bucket] {
		bucket++
	}
	h.buckets[bucket].Add(1)
	h.sumMicros.Add(duration.Microseconds())
}

// Count is how many durations were counted.
func (h *Histogram) Count() (count int64) {
	for i := range h.buckets {
		count += h.buckets[i].Load()
	}
	return count
}

// cumulative returns the histogram as the format wants it: for each bound in seconds how many durations are not above it, and over
// all bounds their number and sum in seconds.
func (h *Histogram) cumulative() (atMost map[float64]uint64, count uint64, sumSeconds float64) {
	atMost = make(map[float64]uint64, len(bucketBounds))
	for i := range h.buckets {
		count += uint64(h.buckets[i].Load())
		if i < len(bucketBounds) {
			atMost[bucketBounds[i].Seconds()] = count
		}
	}
	return atMost, count, float64(h.sumMicros.Load()) / 1e6
}
