package control

import (
	"flag"
	"runtime"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

var (
	seedCount = flag.Int("seeds", 200, "worlds to play")
	firstSeed = flag.Int("first", 0, "the first seed")
	onlySeed  = flag.Int("only", -1, "the one seed to play")
)

// Histories of operators' calls, to any member, raced, sent again and with answers lost, while members die, lose their
// power or disk, stand still, are cut off one way or both, hand over and take snapshots, are linearizable.
func TestUpdatesAreLinearizable(t *testing.T) {
	n := *seedCount
	if testing.Short() {
		n /= 10
	}
	from := *firstSeed
	if *onlySeed >= 0 {
		from, n = *onlySeed, 1
	}
	var mu sync.Mutex
	least, report, responses := -1, "", map[int]int{}
	broken := 0
	var g errgroup.Group
	g.SetLimit(min(3, runtime.GOMAXPROCS(0)))
	for seed := from; seed < from+n; seed++ {
		g.Go(func() error {
			h := newUpdateHistory(uint64(seed))
			h.runAndCheck()
			mu.Lock()
			defer mu.Unlock()
			for status, n := range h.responses {
				responses[status] += n
			}
			if len(h.Violations) > 0 {
				if broken++; least < 0 || seed < least {
					least, report = seed, h.report()
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	t.Logf("responses: %v", responses)
	require.Negative(t, least, "%d of %d worlds; seed %d: %s", broken, n, least, report)
	for _, status := range []int{200, 400, 412} {
		require.Greater(t, responses[status], n, "what is to be judged hardly comes about: %d", status)
	}
}

// The model tells apart what the letter of the operators' protocol allows and what it does not.
func TestLinearizabilityModel(t *testing.T) {
	one, other, same := &update{generation: 2, routes: []route{{"a", 1}}}, &update{generation: 2, routes: []route{{"b", 1}}}, &update{generation: 2, routes: []route{{"a", 1}}}
	late, drop := &update{baseVersion: 2, generation: 2, routes: one.routes}, &update{baseVersion: 2, generation: 5, amendment: true, remove: "a"}
	type told = porcupine.Operation
	at := func(call, back int64, in any, status int, body string) told {
		return told{Call: call, Return: back, Input: in, Output: modelResponse{status, body}}
	}
	first, text := at(0, 1, one, 200, ""), string(one.body())
	for name, c := range map[string]struct {
		ok  bool
		ops []told
	}{
		"one wins":                                {true, []told{first, at(0, 1, other, 412, "")}},
		"both win":                                {false, []told{first, at(0, 1, other, 200, "")}},
		"sent again":                              {true, []told{first, at(2, 3, same, 200, "")}},
		"sent again and refused":                  {false, []told{first, at(2, 3, same, 412, "")}},
		"sent again after another":                {true, []told{first, at(2, 3, drop, 200, ""), at(4, 5, same, 200, "")}},
		"a current base is refused":               {false, []told{first, at(2, 3, drop, 412, "")}},
		"a valid order is called invalid":         {false, []told{first, at(2, 3, drop, 400, "")}},
		"the same body on another base":           {true, []told{first, at(2, 3, late, 400, "")}},
		"the same body on another base, taken":    {false, []told{first, at(2, 3, late, 200, "")}},
		"an old read":                             {false, []told{first, at(2, 3, nil, 404, "")}},
		"a read beside an order":                  {true, []told{first, at(0, 1, nil, 404, ""), at(0, 1, nil, 200, text)}},
		"a read of other bytes":                   {false, []told{first, at(2, 3, nil, 200, text+" ")}},
		"no answer, and seen later":               {true, []told{at(0, 1<<60, one, 0, ""), at(2, 3, nil, 404, ""), at(4, 5, nil, 200, text)}},
		"no answer, seen, and gone again":         {false, []told{at(0, 1<<60, one, 0, ""), at(2, 3, nil, 200, text), at(4, 5, nil, 404, "")}},
		"no answer, and another on its base wins": {false, []told{at(0, 1<<60, one, 0, ""), at(2, 3, other, 200, ""), at(4, 5, nil, 200, text)}},
	} {
		require.Equal(t, c.ok, porcupine.CheckOperations(linearizabilityModel, c.ops), name)
	}
}
