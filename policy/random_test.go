package policy

import "testing"

// Replays of traces require the same numbers for the same seed: the CRC-32 of the seed and the number of the draw.
func TestRandomSequenceIsFixedBySeed(t *testing.T) {
	router := Router{Deployment: Deployment{Seed: 7}}
	for _, crc := range []float64{1263073680, 1011861766} {
		if got := router.random(); got != crc/(1<<32) {
			t.Errorf("got %v, want %v", got, crc/(1<<32))
		}
	}
}
