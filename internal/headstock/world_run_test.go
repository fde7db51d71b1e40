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
	w.judge.Over()
}

func (w *world) report() string {
	return strings.Join(w.Broken, "\n") + "\nafter\n" + strings.Join(w.Trace, "\n")
}

func TestNoSeedBreaksARuleOfTheWire(t *testing.T) {
	served := 0
	for seed := range worlds() {
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
	require.Greater(t, served, 300*worlds(), "too little was served for this to prove anything")
	t.Logf("%d worlds, %d statements served", worlds(), served)
}

// worlds is how many are played: a tenth in short runs, as under the race detector.
func worlds() int {
	if testing.Short() {
		return max(1, *seeds/10)
	}
	return *seeds
}

func TestASeedPlaysTheSameEachTime(t *testing.T) {
	play := func() (string, int) {
		w := newWorld(11, 3, 9)
		w.play()
		return w.report(), w.Served
	}
	report, served := play()
	again, servedAgain := play()
	require.Equal(t, report, again)
	require.Equal(t, served, servedAgain)
}
