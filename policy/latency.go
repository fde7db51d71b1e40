package policy

import "math"

const (
	maxLatencySamples = 500   // number of answers that the mean covers
	recentSamples     = 32    // number of answers that the recent mean covers; fewer tell nothing of the unloaded latency
	boundDeviations   = 4     // deviations above the mean within which nearly all answers come
	unloadedRise      = 0.001 // by which the unloaded latency may rise in a second
)

// latencyStats describes how long the answers to one kind of command take, measured from their dispatch.
type latencyStats struct {
	samples   float64 // number of answers, at most maxLatencySamples
	mean      float64 // in tenths of a millisecond, like all fields below; 0: no answer yet
	deviation float64 // mean absolute deviation
	recent    float64 // mean over recentSamples answers
	unloaded  float64 // least recent mean: the latency at hosts that are not crowded; 0: not known yet
	updatedAt TenthMs
}

// record adds the latency of an answer. The unloaded latency rises slowly by itself, so that work that has become longer is not
// taken for crowding for ever.
func (s *latencyStats) record(latency, now TenthMs) {
	value := float64(latency)
	if s.samples == 0 { // one answer does not show how much answers vary
		*s = latencyStats{samples: 1, mean: value, deviation: value, recent: value, updatedAt: now}
		return
	}
	s.unloaded *= 1 + unloadedRise*float64(now-s.updatedAt)/float64(second)
	s.updatedAt = now
	s.samples = min(s.samples+1, maxLatencySamples)
	s.deviation += (math.Abs(value-s.mean) - s.deviation) / s.samples
	s.mean += (value - s.mean) / s.samples
	s.recent += (value - s.recent) / min(s.samples, recentSamples)
	if s.samples >= recentSamples && (s.unloaded == 0 || s.recent < s.unloaded) {
		s.unloaded = s.recent
	}
}

// bound returns the time within which nearly all answers come; 0 if there was none yet.
func (s *latencyStats) bound() TenthMs { return TenthMs(s.mean + boundDeviations*s.deviation) }

// overdue returns the time after which an answer is assumed lost: neither usual nor explained by a crowded host.
func (s *latencyStats) overdue() TenthMs { return max(s.bound(), TenthMs(maxLatencyRatio*s.unloaded)) }

// ratio returns a latency as a multiple of the unloaded latency.
func (s *latencyStats) ratio(latency TenthMs) float64 {
	switch {
	case s.unloaded > 0:
		return float64(latency) / s.unloaded
	case s.mean > 0:
		return float64(latency) / s.mean
	}
	return 1
}
