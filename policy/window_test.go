package policy

import (
	"math"
	"testing"
)

func TestWindowSumsUpLastSeconds(t *testing.T) {
	var gaps window
	gaps.record(0, 1000) // outside the window at the end
	for i := range TenthMs(4) {
		gaps.record(10*second+i, float64(1+i%2*2)) // 1, 3, 1, 3
	}
	count, mean, deviation := gaps.summary(10*second + 5)
	if count != 4 || mean != 2 || math.Abs(deviation-1) > 1e-9 {
		t.Errorf("%v values, mean %v, deviation %v", count, mean, deviation)
	}
	if count, _, deviation := gaps.summary((10 + windowSeconds) * second); count != 0 || deviation != 0 {
		t.Errorf("%v values after the window, deviation %v", count, deviation)
	}
}
