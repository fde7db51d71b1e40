package headstock

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var seeds = flag.Int("seeds", 400, "worlds to play")

var only = flag.Int("only", -1, "the one seed to play")

func (w *world) play() {
	w.In(s, w.strike)
	w.Play(16 * s) // no more faults after the first eight
	w.over()
}

func (w *world) report() string {
	return strings.Join(w.Broken, "\n") + "\nafter\n" + strings.Join(w.Trace, "\n")
}

func TestNoSeedBreaksARuleOfTheWire(t *testing.T) {
	served := 0
	for seed := range *seeds {
		if *only >= 0 && seed != *only {
			continue
		}
		w := newWorld(uint64(seed), 3, 9)
		w.play()
		if len(w.Broken) > 0 {
			t.Fatalf("seed %d:\n%s", seed, w.report())
		}
		served += w.Served
	}
	if *only >= 0 {
		return
	}
	require.Greater(t, served, 300**seeds, "too little was served for this to prove anything")
	t.Logf("%d worlds, %d statements served", *seeds, served)
}
