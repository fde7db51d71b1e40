package policy

import "testing"

// Replays of traces need the same numbers for the same seed: the CRC-32 of seed and draw.
func TestRandomSequenceIsFixedBySeed(t *testing.T) {
	router := Router{Deployment: Deployment{Seed: 7}}
	for _, crc := range []float64{1263073680, 1011861766} {
		if got := router.random(); got != crc/(1<<32) {
			t.Errorf("drew %v in place of %v", got, crc/(1<<32))
		}
	}
}
