package forge

import (
	"flag"
	"maps"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

var (
	seeds = flag.Int("seeds", 200, "worlds to play")
	first = flag.Int("first", 0, "the first seed")
	only  = flag.Int("only", -1, "the one seed to play")
)

// Histories of operators' calls, to any member, raced, sent again and with answers lost, while members die, lose their
// power or disk, stand still, are cut off one way or both, hand over and take snapshots, are linearizable.
func TestOrdersHaveOneOrder(t *testing.T) {
	n := *seeds
	if testing.Short() {
		n /= 10
	}
	from := *first
	if *only >= 0 {
		from, n = *only, 1
	}
	var mu sync.Mutex
	least, report, clear := -1, "", map[int]int{}
	broken := 0
	var g errgroup.Group
	g.SetLimit(min(3, runtime.GOMAXPROCS(0)))
	for seed := from; seed < from+n; seed++ {
		g.Go(func() error {
			h := newHistory(uint64(seed))
			h.judge()
			mu.Lock()
			defer mu.Unlock()
			for status, n := range h.clear {
				clear[status] += n
			}
			if len(h.Broken) > 0 {
				if broken++; least < 0 || seed < least {
					least, report = seed, h.report()
				}
			}
			return nil
		})
	}
	g.Wait()
	t.Logf("answers: %v", maps.Collect(maps.All(clear)))
	require.Negative(t, least, "%d of %d worlds; seed %d: %s", broken, n, least, report)
	for _, status := range []int{200, 400, 412} {
		require.Greater(t, clear[status], n, "what is to be judged hardly comes about: %d", status)
	}
}
