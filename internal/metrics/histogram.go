package metrics

import (
	"sync/atomic"
	"time"
)

// bucketBounds are the inclusive upper bounds of the buckets of all histograms. The last bucket has no bound and is not listed.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// Histogram counts durations in buckets. The zero value is an empty histogram. It is safe for concurrent use.
type Histogram struct {
	buckets   [len(bucketBounds) + 1]atomic.Int64
	sumMicros atomic.Int64 // sum of all durations, in microseconds
}

// Observe adds a duration to the histogram.
func (h *Histogram) Observe(duration time.Duration) {
	bucket := 0
	for bucket < len(bucketBounds) && duration > bucketBounds[bucket] {
		bucket++
	}
	h.buckets[bucket].Add(1)
	h.sumMicros.Add(duration.Microseconds())
}

// Count returns the number of observed durations.
func (h *Histogram) Count() (count int64) {
	for i := range h.buckets {
		count += h.buckets[i].Load()
	}
	return count
}

// cumulative returns the histogram in the form that Prometheus requires: for each bucket bound in seconds the number of durations
// up to that bound, and the count and sum in seconds of all durations.
func (h *Histogram) cumulative() (countByBound map[float64]uint64, count uint64, sumSeconds float64) {
	countByBound = make(map[float64]uint64, len(bucketBounds))
	for i := range h.buckets {
		count += uint64(h.buckets[i].Load())
		if i < len(bucketBounds) {
			countByBound[bucketBounds[i].Seconds()] = count
		}
	}
	return countByBound, count, float64(h.sumMicros.Load()) / 1e6
}
