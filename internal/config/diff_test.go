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

// many is a configuration of n routes, as the operator writes them.
func many(generation, n int, changed func(i int) string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Generation":%d,"Routes":[`, generation)
	for i := range n {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, `{"Name":"r%d","Host":"db%d","PathPrefix":"/","Kind":"leader","DeadlineMs":800,"TargetMs":150,"Priority":1,"Service":"s%d","MaxTries":2%s}`,
			i, i, i%3, changed(i))
	}
	b.WriteString(`],"Services":[{"Name":"s0","MaxConns":57},{"Name":"s1","MaxConns":57},{"Name":"s2"}],"Limits":{"TxnIdleMs":3000},"More":"kept"}`)
	return b.Bytes()
}

func same(int) string { return "" }

// Whatever a configuration becomes, its bytes are made again of the old ones by what is less than the whole, and it is read
// as if nothing had been there before.
func TestADifferenceMakesTheSameBytesAndTheSamePlan(t *testing.T) {
	refused := 0
	for seed := range 300 {
		chance := rand.New(rand.NewPCG(uint64(seed), 7))
		n := 1 + chance.IntN(60)
		old, err := Read(many(1, n, same))
		require.NoError(t, err)
		next := many(2, n, func(i int) string {
			if chance.IntN(n) == 0 {
				return fmt.Sprintf(`,"New":[%d,"]}\"\\"]`, chance.IntN(1000))
			}
			return ""
		})
		switch chance.IntN(6) {
		case 0: // fewer
			next = many(2, chance.IntN(n), same)
		case 1: // in another order
			a, b := bytes.Index(next, []byte("[")), bytes.Index(next, []byte(`],"Services"`))
			items := bytes.Split(next[a+1:b], []byte(", {"))
			for i := range items {
				items[i] = bytes.TrimPrefix(items[i], []byte("{"))
			}
			chance.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
			next = append(append(bytes.Clone(next[:a+1]), append([]byte("{"), bytes.Join(items, []byte(",\n {"))...)...), next[b:]...)
		case 2:
			next = bytes.ReplaceAll(next, []byte("800"), []byte("9"))
		case 3: // one stands twice, or what is new takes another's place
			i := fmt.Sprint(chance.IntN(n))
			next = bytes.Replace(next, []byte(`"Name":"r0","Host":"db0"`), []byte(`"Name":"r`+i+`","Host":"db`+i+`"`), 1)
		}
		p, err := ReadNext(old, next)
		alone, want := whole(bytes.Clone(next))
		require.Equal(t, want, err, "seed %d: %s", seed, next)
		if err != nil {
			refused++
			continue
		}
		alone.at = p.at
		require.Equal(t, alone, p, "seed %d", seed)
		d := Diff(old, p)
		made, err := Patch(old.Body, d)
		require.NoError(t, err, "seed %d", seed)
		require.Equal(t, string(next), string(made), "seed %d", seed)
		require.LessOrEqual(t, len(d), len(next)+8)
	}
	require.Greater(t, refused, 10)
	old, _ := Read(many(1, 900, same))
	p, err := ReadNext(old, many(2, 900, func(i int) string { return strings.Repeat(`,"New":1`, 1/(1+(i-77)*(i-77))) }))
	require.NoError(t, err)
	require.Less(t, len(Diff(old, p)), 64, "one route of 900 changed")
}

func TestADifferenceThatDoesNotFitMakesNothing(t *testing.T) {
	old := []byte("0123456789")
	for name, d := range map[string][]byte{
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
		_, err := Patch(old, d)
		require.ErrorIs(t, err, errDiff, name)
	}
	big := make([]byte, MaxBodyBytes/8)
	d := binary.AppendUvarint(nil, MaxBodyBytes+MaxBodyBytes/8)
	for range 9 { // few bytes that stand for many
		d = binary.AppendUvarint(append(d, 0, 0), MaxBodyBytes/8)
	}
	_, err := Patch(big, d)
	require.ErrorIs(t, err, errDiff)
	_, err = Read(append(bytes.Repeat([]byte(" "), MaxBodyBytes), many(1, 1, same)...))
	require.ErrorContains(t, err, "at most")
}

// What is read beside an older plan gets the verdict that it gets alone.
func FuzzNext(f *testing.F) {
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
		p, err := ReadNext(old, after)
		alone, want := whole(after)
		if (err == nil) != (want == nil) {
			t.Fatalf("beside another: %v, alone: %v", err, want)
		}
		if err != nil {
			return
		}
		alone.at = p.at
		if !reflect.DeepEqual(p, alone) {
			t.Fatalf("%+v, alone %+v", p, alone)
		}
		if made, err := Patch(body, Diff(old, p)); err != nil || !bytes.Equal(made, after) {
			t.Fatalf("%q made of a difference, %v", made, err)
		}
	})
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte("0123456789"), []byte{7, 1, 'a', 2, 5, 1, 'b'})
	f.Add([]byte("x"), binary.AppendUvarint(nil, MaxBodyBytes))
	f.Fuzz(func(t *testing.T, old, d []byte) {
		if b, err := Patch(old, d); err == nil && len(b) > MaxBodyBytes {
			t.Fatalf("%d bytes", len(b))
		}
	})
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{10, 100, 900, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			old, _ := Read(many(1, n, same))
			next := many(2, n, func(i int) string { return strings.Repeat(`,"New":1`, 1/(1+(i-7)*(i-7))) })
			p, _ := ReadNext(old, next)
			d := Diff(old, p)
			for b.Loop() {
				made, _ := Patch(old.Body, d)
				ReadNext(old, made)
			}
			b.ReportMetric(float64(len(d)), "diff_B")
			b.ReportMetric(float64(len(next)), "body_B")
		})
	}
}

func BenchmarkRead(b *testing.B) {
	for _, n := range []int{10, 100, 900, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			body := many(1, n, same)
			for b.Loop() {
				Read(body)
			}
		})
	}
}
