package config

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// manyRoutes returns a configuration as the operator writes them. extra returns more fields for the route of an index.
func manyRoutes(generation, count int, extra func(index int) string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Generation":%d,"Routes":[`, generation)
	for i := range count {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, `{"Name":"r%d","Host":"db%d","PathPrefix":"/","Kind":"leader","DeadlineMs":800,"TargetMs":150,"Priority":1,"Service":"s%d","MaxTries":2%s}`,
			i, i, i%3, extra(i))
	}
	b.WriteString(`],"Services":[{"Name":"s0","MaxConns":57},{"Name":"s1","MaxConns":57},{"Name":"s2"}],"Limits":{"TxnIdleMs":3000},"More":"kept"}`)
	return b.Bytes()
}

func noExtra(int) string { return "" }

// changeRandomly returns a changed version of manyRoutes(1, count, noExtra).
func changeRandomly(random *rand.Rand, count int) []byte {
	changed := manyRoutes(2, count, func(int) string {
		if random.IntN(count) == 0 {
			return fmt.Sprintf(`,"New":[%d,"]}\"\\"]`, random.IntN(1000))
		}
		return ""
	})
	switch random.IntN(6) {
	case 0:
		return manyRoutes(2, random.IntN(count), noExtra) // fewer routes
	case 1:
		return shuffleRoutes(random, changed)
	case 2:
		return bytes.ReplaceAll(changed, []byte("800"), []byte("9")) // every route
	case 3: // a route stands twice, or a new one replaces another
		name := fmt.Sprint(random.IntN(count))
		replacement := `"Name":"r` + name + `","Host":"db` + name + `"`
		return bytes.Replace(changed, []byte(`"Name":"r0","Host":"db0"`), []byte(replacement), 1)
	}
	return changed
}

func shuffleRoutes(random *rand.Rand, body []byte) []byte {
	from, to := bytes.Index(body, []byte("["))+1, bytes.Index(body, []byte(`],"Services"`))
	routes := bytes.Split(body[from:to], []byte(", {"))
	for i := range routes {
		routes[i] = bytes.TrimPrefix(routes[i], []byte("{"))
	}
	random.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
	shuffled := append(bytes.Clone(body[:from]), '{')
	shuffled = append(shuffled, bytes.Join(routes, []byte(",\n {"))...)
	return append(shuffled, body[to:]...)
}

// Whatever a configuration becomes, its diff makes the same bytes in less space, and it is read as if there were no previous one.
func TestDiffMakesTheSameBodyAndConfig(t *testing.T) {
	rejected := 0
	for seed := range 300 {
		random := rand.New(rand.NewPCG(uint64(seed), 7))
		count := 1 + random.IntN(60)
		old, err := Read(manyRoutes(1, count, noExtra))
		require.NoError(t, err)
		body := changeRandomly(random, count)
		next, err := ReadNext(old, body)
		alone, want := readWhole(bytes.Clone(body))
		require.Equal(t, want, err, "seed %d: %s", seed, body)
		if err != nil {
			rejected++
			continue
		}
		alone.layout = next.layout
		require.Equal(t, alone, next, "seed %d", seed)
		diff := Diff(old, next)
		made, err := Patch(old.Body, diff)
		require.NoError(t, err, "seed %d", seed)
		require.Equal(t, string(body), string(made), "seed %d", seed)
		require.LessOrEqual(t, len(diff), len(body)+8)
	}
	require.Greater(t, rejected, 10)
	old, _ := Read(manyRoutes(1, 900, noExtra))
	next, err := ReadNext(old, manyRoutes(2, 900, extraAt(77)))
	require.NoError(t, err)
	require.Less(t, len(Diff(old, next)), 64, "one route of 900 changed")
}

// extraAt gives the route of one index another field.
func extraAt(changed int) func(index int) string {
	return func(index int) string {
		if index == changed {
			return `,"New":1`
		}
		return ""
	}
}

func TestPatchRejectsADiffThatDoesNotFit(t *testing.T) {
	old := []byte("0123456789")
	for name, diff := range map[string][]byte{
		"empty":                       {},
		"a length beyond reason":      binary.AppendUvarint(nil, MaxBodyBytes+1),
		"a length that overflows":     bytes.Repeat([]byte{0xff}, 12),
		"literals that are not there": {5, 5, 'a'},
		"a copy behind the end":       {5, 0, 8, 5},
		"a copy from behind the end":  {5, 0, 11, 1},
		"a copy of nothing":           {5, 0, 0, 0},
		"more than its length":        {5, 0, 0, 6},
		"less than its length":        {5, 0, 0, 4},
		"something behind it":         {5, 0, 0, 5, 0},
	} {
		_, err := Patch(old, diff)
		require.ErrorIs(t, err, errDiff, name)
	}
	big := make([]byte, MaxBodyBytes/8)
	diff := binary.AppendUvarint(nil, MaxBodyBytes+MaxBodyBytes/8)
	for range 9 { // few bytes that stand for many
		diff = binary.AppendUvarint(append(diff, 0, 0), MaxBodyBytes/8)
	}
	_, err := Patch(big, diff)
	require.ErrorIs(t, err, errDiff)
	_, err = Read(append(bytes.Repeat([]byte(" "), MaxBodyBytes), manyRoutes(1, 1, noExtra)...))
	require.ErrorContains(t, err, "at most")
}

// What is read after a previous configuration has the same result as alone.
func FuzzReadNext(f *testing.F) {
	f.Add([]byte(good), []byte(strings.Replace(good, `"Priority":2`, `"Priority":3`, 1)))
	f.Add([]byte(good), []byte(strings.Replace(good, `"Routes"`, `"routes"`, 1)))
	f.Add([]byte(good), []byte(`{"Generation":1,"Routes":[{"Name":"r1",}],"Services":[]}`))
	f.Add([]byte(good), []byte(`{"Generation":1,"Routes":[1 2],"Services":[],"Routes":[]}`))
	f.Add([]byte(good), []byte(`{"Generation":1,"Routes":[{"a":"}]"}],"Services":[{}],"Limits":null}`))
	f.Fuzz(func(t *testing.T, body, after []byte) {
		old, err := Read(body)
		if err != nil {
			return
		}
		next, err := ReadNext(old, after)
		alone, want := readWhole(after)
		if (err == nil) != (want == nil) {
			t.Fatalf("after another: %v, alone: %v", err, want)
		}
		if err != nil {
			return
		}
		alone.layout = next.layout
		if !reflect.DeepEqual(next, alone) {
			t.Fatalf("%+v, alone %+v", next, alone)
		}
		if made, err := Patch(body, Diff(old, next)); err != nil || !bytes.Equal(made, after) {
			t.Fatalf("%q made by a diff, %v", made, err)
		}
	})
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte("0123456789"), []byte{7, 1, 'a', 2, 5, 1, 'b'})
	f.Add([]byte("x"), binary.AppendUvarint(nil, MaxBodyBytes))
	f.Fuzz(func(t *testing.T, old, diff []byte) {
		if body, err := Patch(old, diff); err == nil && len(body) > MaxBodyBytes {
			t.Fatalf("%d bytes", len(body))
		}
	})
}

// benchmarkRoutes are the numbers of routes that the benchmarks take.
var benchmarkRoutes = []int{10, 100, 900, 2000}

func BenchmarkReadNext(b *testing.B) {
	for _, count := range benchmarkRoutes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			old, _ := Read(manyRoutes(1, count, noExtra))
			body := manyRoutes(2, count, extraAt(7))
			next, _ := ReadNext(old, body)
			diff := Diff(old, next)
			for b.Loop() {
				made, err := Patch(old.Body, diff)
				require.NoError(b, err)
				_, err = ReadNext(old, made)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(diff)), "diff_B")
			b.ReportMetric(float64(len(body)), "body_B")
		})
	}
}

func BenchmarkRead(b *testing.B) {
	for _, count := range benchmarkRoutes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			body := manyRoutes(1, count, noExtra)
			for b.Loop() {
				_, err := Read(body)
				require.NoError(b, err)
			}
		})
	}
}
