package proxy

import (
	"flag"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

var seeds = flag.Int("seeds", 1000, "worlds of the whole control plane to play; of the wire two fifths of that")

var first = flag.Int("first", 0, "the first seed")

var only = flag.Int("only", -1, "the one seed to play")

// Worlds make much garbage and hold little: the collector runs a quarter as often, which takes a quarter off the time.
func TestMain(m *testing.M) {
	flag.Parse()
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

func (w *world) play() {
	w.After(s, w.strike)
	if w.council != nil {
		w.After(w.Between(s, 3*s), w.council.strikes)
	}
	defer func() {
		if p := recover(); p != nil {
			w.Violate("a panic: %v\n%s", p, debug.Stack())
		}
	}()
	w.RunFor(16 * s) // no more faults after the first eight
	if w.council != nil {
		w.RunFor(6 * s) // a host that is down for six, and a platform that is slow, come on top of each other
	}
	w.judge.CheckFinalLog()
	if w.council != nil && w.council.operator != nil {
		w.council.operator.over()
	}
	for _, h := range w.db.Hosts {
		if w.council != nil && h.Up && !h.Leader && h.Paused > 0 {
			w.Violate("PAUSED: %s was never told to go on", h.ID)
		}
	}
}

func (w *world) report() string {
	return strings.Join(w.Violations, "\n") + "\nafter\n" + strings.Join(w.FaultLog, "\n")
}

// playAll plays worlds side by side, and fails with the least seed that broke a rule.
func playAll(t *testing.T, worlds int, build func(seed uint64) *world, seen func(*world)) {
	var mu sync.Mutex
	least, report := -1, ""
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for seed := *first; seed < *first+worlds; seed++ {
		if *only >= 0 && seed != *only {
			continue
		}
		g.Go(func() error {
			w := build(uint64(seed))
			w.play()
			mu.Lock()
			defer mu.Unlock()
			if len(w.Violations) > 0 && (least < 0 || seed < least) {
				least, report = seed, w.report()
			}
			seen(w)
			return nil
		})
	}
	g.Wait()
	if least >= 0 {
		t.Fatalf("seed %d:\n%s", least, report)
	}
}

func TestNoSeedBreaksARuleOfTheWire(t *testing.T) {
	served, worlds := 0, max(1, worlds()*2/5)
	playAll(t, worlds, func(seed uint64) *world { return newWorld(seed, 3, 9) }, func(w *world) { served += w.Served })
	if *only >= 0 {
		return
	}
	require.Greater(t, served, 300*worlds, "too little was served for this to prove anything")
	t.Logf("%d worlds, %d statements served", worlds, served)
}

// worlds is how many are played: a tenth in short runs, as under the race detector.
func worlds() int {
	if testing.Short() {
		return max(1, *seeds/10)
	}
	return *seeds
}

func TestASeedPlaysTheSameEachTime(t *testing.T) {
	for _, build := range []func(uint64, int, int) *world{newWorld, newCouncilWorld} {
		for seed := range uint64(4) {
			play := func() (string, int, int) {
				w := build(seed+11, 3, 9)
				w.play()
				return w.report(), w.Served, w.Serial
			}
			report, served, events := play()
			again, servedAgain, eventsAgain := play()
			require.Equal(t, report, again)
			require.Equal(t, served, servedAgain)
			require.Equal(t, events, eventsAgain)
		}
	}
}

func TestNoSeedBreaksARuleWithAControlPlaneThatFails(t *testing.T) {
	served, calls, taken, again, struck := 0, 0, 0, 0, [12]int{}
	playAll(t, worlds(), func(seed uint64) *world { return newCouncilWorld(seed, 3, 9) }, func(w *world) {
		served, calls = served+w.Served, calls+w.council.calls
		taken, again = taken+len(w.council.operator.kept), again+w.council.operator.again
		for i, n := range w.council.struck {
			struck[i] += n
		}
	})
	if *only >= 0 {
		return
	}
	require.Greater(t, served, 300*worlds(), "too little was served for this to prove anything")
	require.Greater(t, calls, worlds()/2, "too few fail-overs for this to prove anything")
	require.Greater(t, taken, 3*worlds(), "too few changes of the configuration for this to prove anything")
	t.Logf("%d worlds, %d statements served, %d calls to the platform; faults of members by kind: %v; %d versions confirmed, %d sent once more",
		worlds(), served, calls, struck, taken, again)
}
