package policy

import "testing"

func TestUnloadedLatencyIsLeastSustainedMean(t *testing.T) {
	var stats latencyStats
	record := func(count int, latencies ...TenthMs) {
		for i := range count {
			stats.record(latencies[i%len(latencies)], 0)
		}
	}
	record(recentSamples-1, 400)
	if stats.unloaded != 0 || stats.ratio(800) != 2 {
		t.Errorf("after %d answers the unloaded latency is %v", recentSamples-1, stats.unloaded)
	}
	record(200, 400)
	record(1, 10) // one fast answer is no mean
	if stats.unloaded < 300 || stats.unloaded > 400 {
		t.Errorf("the unloaded latency is %v, where answers take 400", stats.unloaded)
	}
	record(2000, 1000)
	if ratio := stats.ratio(1000); ratio < overloadRatio {
		t.Errorf("lasting load is taken for normal: 1000 counts as %.1f times the unloaded latency", ratio)
	}
	record(200, 150)
	if stats.unloaded > 200 {
		t.Errorf("faster hosts are not learnt: %v", stats.unloaded)
	}
}

func TestUnloadedLatencyFollowsLongerWork(t *testing.T) {
	var stats latencyStats
	for i := range TenthMs(1200) { // 20 minutes
		stats.record(map[bool]TenthMs{true: 100, false: 200}[i < 100], i*second)
	}
	if stats.unloaded < 190 || stats.unloaded > 200 {
		t.Errorf("work that takes 200 for twenty minutes has an unloaded latency of %v", stats.unloaded)
	}
}

func TestBoundCoversNearlyAllAnswers(t *testing.T) {
	router, stats, beyond := New(noopCaller{}, Deployment{Seed: 7}, 0), latencyStats{}, 0
	if stats.bound() != 0 {
		t.Error("a bound is known before the first answer")
	}
	for range 1000 {
		latency := TenthMs(100 + 900*router.random()*router.random())
		if stats.samples > recentSamples && latency > stats.bound() {
			beyond++
		}
		stats.record(latency, 0)
	}
	if beyond > 20 {
		t.Errorf("%d of 1000 answers came later than the bound", beyond)
	}
}
