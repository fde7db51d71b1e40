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

// manyRoutes returns a configuration formatted as operators send it. extra returns additional fields for the route at an index.
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

// randomlyChangedBody returns a randomly changed version of manyRoutes(1, count, noExtra).
func randomlyChangedBody(random *rand.Rand, count int) []byte {
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
	case 3: // duplicates a route, or replaces the first route by a new one
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

// For any change of a configuration, Patch restores the exact body from the diff, the diff is at most 8 bytes longer than the body, and
// ReadNext returns the same result as reading without a previous configuration.
func TestDiffMakesTheSameBodyAndConfig(t *testing.T) {
	rejected := 0
	for seed := range 300 {
		random := rand.New(rand.NewPCG(uint64(seed), 7))
		count := 1 + random.IntN(60)
		old, err := Read(manyRoutes(1, count, noExtra))
		require.NoError(t, err)
		body := randomlyChangedBody(random, count)
		next, err := ReadNext(old, body)
		alone, want := readFull(bytes.Clone(body))
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
	require.Less(t, len(Diff(old, next)), 64, "size of the diff if one route of 900 changed")
}

// extraAt returns a function for manyRoutes that adds a field to the route at one index.
func extraAt(changed int) func(index int) string {
	return func(index int) string {
		if index == changed {
			return `,"New":1`
		}
		return ""
	}
}

func TestPatchRejectsAMismatchedDiff(t *testing.T) {
	old := []byte("0123456789")
	for name, diff := range map[string][]byte{
		"empty":                  {},
		"excessive length":       binary.AppendUvarint(nil, MaxBodyBytes+1),
		"overflowing length":     bytes.Repeat([]byte{0xff}, 12),
		"truncated literal":      {5, 5, 'a'},
		"copy past the end":      {5, 0, 8, 5},
		"copy from past the end": {5, 0, 11, 1},
		"empty copy":             {5, 0, 0, 0},
		"longer than announced":  {5, 0, 0, 6},
		"shorter than announced": {5, 0, 0, 4},
		"trailing data":          {5, 0, 0, 5, 0},
	} {
		_, err := Patch(old, diff)
		require.ErrorIs(t, err, errDiffMismatch, name)
	}
	big := make([]byte, MaxBodyBytes/8)
	diff := binary.AppendUvarint(nil, MaxBodyBytes+MaxBodyBytes/8)
	for range 9 { // a short diff that expands to a long body
		diff = binary.AppendUvarint(append(diff, 0, 0), MaxBodyBytes/8)
	}
	_, err := Patch(big, diff)
	require.ErrorIs(t, err, errDiffMismatch)
	_, err = Read(append(bytes.Repeat([]byte(" "), MaxBodyBytes), manyRoutes(1, 1, noExtra)...))
	require.ErrorContains(t, err, "at most")
}

// FuzzReadNext checks that ReadNext returns the same result as reading without a previous configuration, and that Patch restores
// the body from the diff.
func FuzzReadNext(f *testing.F) {
	f.Add([]byte(validBody), []byte(strings.Replace(validBody, `"Priority":2`, `"Priority":3`, 1)))
	f.Add([]byte(validBody), []byte(strings.Replace(validBody, `"Routes"`, `"routes"`, 1)))
	f.Add([]byte(validBody), []byte(`{"Generation":1,"Routes":[{"Name":"r1",}],"Services":[]}`))
	f.Add([]byte(validBody), []byte(`{"Generation":1,"Routes":[1 2],"Services":[],"Routes":[]}`))
	f.Add([]byte(validBody), []byte(`{"Generation":1,"Routes":[{"a":"}]"}],"Services":[{}],"Limits":null}`))
	f.Fuzz(func(t *testing.T, body, after []byte) {
		old, err := Read(body)
		if err != nil {
			return
		}
		next, err := ReadNext(old, after)
		alone, want := readFull(after)
		if (err == nil) != (want == nil) {
			t.Fatalf("with a previous configuration: %v, without: %v", err, want)
		}
		if err != nil {
			return
		}
		alone.layout = next.layout
		if !reflect.DeepEqual(next, alone) {
			t.Fatalf("with a previous configuration: %+v, without: %+v", next, alone)
		}
		if made, err := Patch(body, Diff(old, next)); err != nil || !bytes.Equal(made, after) {
			t.Fatalf("Patch returned %q, %v", made, err)
		}
	})
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte("0123456789"), []byte{7, 1, 'a', 2, 5, 1, 'b'})
	f.Add([]byte("x"), binary.AppendUvarint(nil, MaxBodyBytes))
	f.Fuzz(func(t *testing.T, old, diff []byte) {
		if body, err := Patch(old, diff); err == nil && len(body) > MaxBodyBytes {
			t.Fatalf("Patch returned %d bytes", len(body))
		}
	})
}

// benchmarkRoutes has the numbers of routes in the benchmarks.
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
