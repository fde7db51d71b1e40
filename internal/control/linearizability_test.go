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
	seedCount = flag.Int("seeds", 200, "number of simulations to run")
	firstSeed = flag.Int("first", 0, "first seed")
	onlySeed  = flag.Int("only", -1, "run only this seed")
)

// The histories of operators' calls are linearizable. Calls go to any member, run concurrently and are retried, and responses are
// lost, while members crash, lose power or their disk, are suspended or partitioned, transfer leadership and take snapshots.
func TestUpdatesAreLinearizable(t *testing.T) {
	count := *seedCount
	if testing.Short() {
		count /= 10
	}
	from := *firstSeed
	if *onlySeed >= 0 {
		from, count = *onlySeed, 1
	}
	var mu sync.Mutex
	firstViolated, report, responses := -1, "", map[int]int{}
	violated := 0
	var g errgroup.Group
	g.SetLimit(min(3, runtime.GOMAXPROCS(0)))
	for seed := from; seed < from+count; seed++ {
		g.Go(func() error {
			history := newUpdateHistory(uint64(seed))
			history.runAndCheck()
			mu.Lock()
			defer mu.Unlock()
			for status, count := range history.responses {
				responses[status] += count
			}
			if len(history.Violations) > 0 {
				if violated++; firstViolated < 0 || seed < firstViolated {
					firstViolated, report = seed, history.report()
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	t.Logf("responses: %v", responses)
	require.Negative(t, firstViolated, "%d of %d simulations; seed %d: %s", violated, count, firstViolated, report)
	for _, status := range []int{200, 400, 412} {
		require.Greater(t, responses[status], count, "too few responses with status %d", status)
	}
}

// The model accepts exactly the histories that the operator API allows.
func TestLinearizabilityModel(t *testing.T) {
	one, other, same := &update{generation: 2, routes: []route{{"a", 1}}}, &update{generation: 2, routes: []route{{"b", 1}}}, &update{generation: 2, routes: []route{{"a", 1}}}
	late, drop := &update{baseVersion: 2, generation: 2, routes: one.routes}, &update{baseVersion: 2, generation: 5, amendment: true, remove: "a"}
	type operation = porcupine.Operation
	at := func(call, back int64, in any, status int, body string) operation {
		return operation{Call: call, Return: back, Input: in, Output: modelResponse{status, body}}
	}
	first, text := at(0, 1, one, 200, ""), string(one.body())
	for name, test := range map[string]struct {
		ok  bool
		ops []operation
	}{
		"one wins":                                  {true, []operation{first, at(0, 1, other, 412, "")}},
		"both win":                                  {false, []operation{first, at(0, 1, other, 200, "")}},
		"repeated":                                  {true, []operation{first, at(2, 3, same, 200, "")}},
		"repeated and rejected":                     {false, []operation{first, at(2, 3, same, 412, "")}},
		"repeated after another":                    {true, []operation{first, at(2, 3, drop, 200, ""), at(4, 5, same, 200, "")}},
		"a current base is rejected":                {false, []operation{first, at(2, 3, drop, 412, "")}},
		"a valid update is called invalid":          {false, []operation{first, at(2, 3, drop, 400, "")}},
		"the same body on another base":             {true, []operation{first, at(2, 3, late, 400, "")}},
		"the same body on another base, applied":    {false, []operation{first, at(2, 3, late, 200, "")}},
		"an old read":                               {false, []operation{first, at(2, 3, nil, 404, "")}},
		"a read concurrent with an update":          {true, []operation{first, at(0, 1, nil, 404, ""), at(0, 1, nil, 200, text)}},
		"a read of other bytes":                     {false, []operation{first, at(2, 3, nil, 200, text+" ")}},
		"no response, and read later":               {true, []operation{at(0, 1<<60, one, 0, ""), at(2, 3, nil, 404, ""), at(4, 5, nil, 200, text)}},
		"no response, read, and gone":               {false, []operation{at(0, 1<<60, one, 0, ""), at(2, 3, nil, 200, text), at(4, 5, nil, 404, "")}},
		"no response, and another on its base wins": {false, []operation{at(0, 1<<60, one, 0, ""), at(2, 3, other, 200, ""), at(4, 5, nil, 200, text)}},
	} {
		require.Equal(t, test.ok, porcupine.CheckOperations(linearizabilityModel, test.ops), name)
	}
}
