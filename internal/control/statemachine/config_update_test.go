package statemachine

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// big is a configuration of n routes of which one has a time of its own.
func big(generation int64, n, odd, ms int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Generation":%d,"Routes":[`, generation)
	for i := range n {
		deadline := 800
		if i == odd {
			deadline = ms
		}
		fmt.Fprintf(&b, `%s{"Name":"r%d","Host":"db%d","PathPrefix":"/","Kind":"leader","DeadlineMs":%d,"TargetMs":150,"Priority":1,"Service":"s","MaxTries":2}`,
			[]string{"", ","}[min(i, 1)], i, i, deadline)
	}
	b.WriteString(`],"Services":[{"Name":"s","MaxConns":57}],"More":"kept"}`)
	return b.Bytes()
}

// taken has a state take an order as the log carries it, and gives that entry.
func taken(t testing.TB, s *State, c Configure) []byte {
	plan, err := s.Check(&c)
	require.NoError(t, err)
	entry := Encode(Change{Configure: s.Pack(&c, plan)})
	again, err := Decode(entry)
	require.NoError(t, err)
	require.NoError(t, s.Apply(s.Index+1, again))
	return entry
}

// What the operator sent is read back byte for byte by all, however it travelled; an order that is sent again is known.
func TestOrdersTravelAsDifferencesAndAreReadBackByteForByte(t *testing.T) {
	s, other := &State{}, &State{}
	orders, bytes := []Configure{{Body: big(1, 900, 0, 800)}}, 0
	for i := range 200 {
		c := Configure{Base: int64(i + 1), Body: big(int64(i+2), 900, i, 100+i)}
		if i%5 == 4 {
			c.Amend, c.Body = true, fmt.Appendf(nil, `{"Generation":%d,"Upsert":{"Routes":[{"Name":"r7","Host":"db7","Kind":"leader","DeadlineMs":%d,"Service":"s"}]}}`, i+2, i+1)
		}
		orders = append(orders, c)
	}
	for i, c := range orders {
		entry := taken(t, s, c)
		if i > 0 {
			bytes += len(entry)
		}
		change, err := Decode(entry)
		require.NoError(t, err)
		require.NoError(t, other.Apply(uint64(i+1), change))
		require.Equal(t, string(s.Config), string(other.Config))
		if !c.Amend {
			require.Equal(t, string(c.Body), string(other.Config))
		}
		if i%50 == 49 {
			other, err = Restore(other.Snapshot())
			require.NoError(t, err)
		}
		require.Equal(t, s.Sum(), other.Sum())
	}
	require.Less(t, bytes/200, 400, "a change of one route in 900")
	for _, c := range orders[len(orders)-20:] {
		plan, err := other.Check(&c)
		require.NoError(t, err)
		require.Nil(t, plan, "it was taken")
	}
}

// What does not fit is refused as a whole: nothing of it is in the state, and a state that is itself not what was built
// on takes in nothing, not even the place.
func TestADifferenceIsTakenWholeOrNotAtAll(t *testing.T) {
	s := &State{}
	taken(t, s, Configure{Body: big(1, 20, 0, 800)})
	order := Configure{Base: 1, Body: big(2, 20, 3, 9)}
	plan, err := s.Check(&order)
	require.NoError(t, err)
	good := s.Pack(&order, plan)
	require.NotEmpty(t, good.Diff)
	before := s.Snapshot()
	for name, spoil := range map[string]func(*Configure){
		"another digest of the whole": func(c *Configure) { c.Whole[3]++ },
		"a cut difference":            func(c *Configure) { c.Diff = c.Diff[:len(c.Diff)-1] },
		"other bytes":                 func(c *Configure) { c.Diff = append(bytes.Clone(c.Diff[:len(c.Diff)-1]), c.Diff[len(c.Diff)-1]-1) },
		"no difference, no body":      func(c *Configure) { c.Diff = nil },
	} {
		c := *good
		spoil(&c)
		one, err := Restore(before)
		require.NoError(t, err)
		require.ErrorIs(t, one.Apply(2, Change{Configure: &c}), ErrInvalid, name)
		one.Index = 1
		require.Equal(t, before, one.Snapshot(), name)
	}
	late := *good
	late.Base = 7
	one, _ := Restore(before)
	require.ErrorIs(t, one.Apply(2, Change{Configure: &late}), ErrOther)
	astray := &State{}
	taken(t, astray, Configure{Body: big(1, 20, 1, 801)})
	require.ErrorIs(t, astray.Apply(2, Change{Configure: good}), ErrDiverged)
	require.EqualValues(t, 1, astray.Index)
	require.NoError(t, s.Apply(2, Change{Configure: good}))
	require.Equal(t, string(order.Body), string(s.Config))
}

func TestASnapshotOfOtherBytesIsNotTaken(t *testing.T) {
	s := &State{}
	taken(t, s, Configure{Body: big(1, 20, 0, 800)})
	good := s.Snapshot()
	chance := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		bad := bytes.Clone(good)
		if k := chance.IntN(len(bad)); chance.IntN(2) == 0 {
			bad = bad[:max(k, 1)]
		} else {
			bad[k] ^= byte(1 + chance.IntN(255))
		}
		_, err := Restore(bad)
		require.Error(t, err)
	}
}

func FuzzDecodeConfigure(f *testing.F) {
	s := &State{}
	f.Add(taken(f, s, Configure{Body: big(1, 20, 0, 800)}))
	f.Add(taken(f, s, Configure{Base: 1, Body: big(2, 20, 1, 9)}))
	f.Add([]byte{0, 1, 0, 2})
	base := s.Snapshot()
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := Decode(b)
		if err != nil {
			return
		}
		if c.Configure != nil && !bytes.Equal(Encode(c), b) && b[0] == packed {
			t.Fatalf("%x is written as %x", b, Encode(c))
		}
		s, _ := Restore(base)
		before := s.Config
		if s.Apply(s.Index+1, c) != nil && !bytes.Equal(before, s.Config) {
			t.Fatal("applied in part")
		}
	})
}

func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 900, 2000} {
		for _, changes := range []int{10, 100, 400, 2000} {
			b.Run(fmt.Sprintf("routes=%d/changes=%d", n, changes), func(b *testing.B) {
				s := &State{}
				taken(b, s, Configure{Body: big(1, n, 0, 800)})
				base, entries, size := s.Snapshot(), []Change{}, 0
				for i := range changes {
					e := taken(b, s, Configure{Base: int64(i + 1), Body: big(int64(i+2), n, i%n, 9+i)})
					c, _ := Decode(e)
					entries, size = append(entries, c), size+len(e)
				}
				one, _ := Restore(base)
				for b.Loop() { // as a new life does
					one, _ = Restore(base)
					for i, c := range entries {
						one.Apply(uint64(i+2), c)
					}
				}
				b.ReportMetric(float64(size)/float64(changes), "entry_B")
				b.ReportMetric(float64(len(one.Snapshot())), "snapshot_B")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(changes), "µs/change")
			})
		}
	}
}
