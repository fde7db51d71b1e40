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
func taken(t testing.TB, s *State, c ConfigUpdate) []byte {
	plan, err := s.CheckConfig(&c)
	require.NoError(t, err)
	entry := EncodeChange(Change{UpdateConfig: s.Delta(&c, plan)})
	again, err := DecodeChange(entry)
	require.NoError(t, err)
	require.NoError(t, s.Apply(s.Index+1, again))
	return entry
}

// What the operator sent is read back byte for byte by all, however it travelled; an order that is sent again is known.
func TestOrdersTravelAsDifferencesAndAreReadBackByteForByte(t *testing.T) {
	s, other := &State{}, &State{}
	orders, bytes := []ConfigUpdate{{Body: big(1, 900, 0, 800)}}, 0
	for i := range 200 {
		c := ConfigUpdate{BaseVersion: int64(i + 1), Body: big(int64(i+2), 900, i, 100+i)}
		if i%5 == 4 {
			c.IsAmendment, c.Body = true, fmt.Appendf(nil, `{"Generation":%d,"Upsert":{"Routes":[{"Name":"r7","Host":"db7","Kind":"leader","DeadlineMs":%d,"Service":"s"}]}}`, i+2, i+1)
		}
		orders = append(orders, c)
	}
	for i, c := range orders {
		entry := taken(t, s, c)
		if i > 0 {
			bytes += len(entry)
		}
		change, err := DecodeChange(entry)
		require.NoError(t, err)
		require.NoError(t, other.Apply(uint64(i+1), change))
		require.Equal(t, string(s.ConfigBody), string(other.ConfigBody))
		if !c.IsAmendment {
			require.Equal(t, string(c.Body), string(other.ConfigBody))
		}
		if i%50 == 49 {
			other, err = Restore(other.Snapshot())
			require.NoError(t, err)
		}
		require.Equal(t, s.Checksum(), other.Checksum())
	}
	require.Less(t, bytes/200, 400, "a change of one route in 900")
	for _, c := range orders[len(orders)-20:] {
		plan, err := other.CheckConfig(&c)
		require.NoError(t, err)
		require.Nil(t, plan, "it was taken")
	}
}

// What does not fit is refused as a whole: nothing of it is in the state, and a state that is itself not what was built
// on takes in nothing, not even the place.
func TestADifferenceIsTakenWholeOrNotAtAll(t *testing.T) {
	s := &State{}
	taken(t, s, ConfigUpdate{Body: big(1, 20, 0, 800)})
	order := ConfigUpdate{BaseVersion: 1, Body: big(2, 20, 3, 9)}
	plan, err := s.CheckConfig(&order)
	require.NoError(t, err)
	good := s.Delta(&order, plan)
	require.NotEmpty(t, good.Diff)
	before := s.Snapshot()
	for name, spoil := range map[string]func(*ConfigUpdate){
		"another digest of the whole": func(c *ConfigUpdate) { c.ResultDigest[3]++ },
		"a cut difference":            func(c *ConfigUpdate) { c.Diff = c.Diff[:len(c.Diff)-1] },
		"other bytes":                 func(c *ConfigUpdate) { c.Diff = append(bytes.Clone(c.Diff[:len(c.Diff)-1]), c.Diff[len(c.Diff)-1]-1) },
		"no difference, no body":      func(c *ConfigUpdate) { c.Diff = nil },
	} {
		c := *good
		spoil(&c)
		one, err := Restore(before)
		require.NoError(t, err)
		require.ErrorIs(t, one.Apply(2, Change{UpdateConfig: &c}), ErrInvalid, name)
		one.Index = 1
		require.Equal(t, before, one.Snapshot(), name)
	}
	late := *good
	late.BaseVersion = 7
	one, _ := Restore(before)
	require.ErrorIs(t, one.Apply(2, Change{UpdateConfig: &late}), ErrVersionConflict)
	astray := &State{}
	taken(t, astray, ConfigUpdate{Body: big(1, 20, 1, 801)})
	require.ErrorIs(t, astray.Apply(2, Change{UpdateConfig: good}), ErrDiverged)
	require.EqualValues(t, 1, astray.Index)
	require.NoError(t, s.Apply(2, Change{UpdateConfig: good}))
	require.Equal(t, string(order.Body), string(s.ConfigBody))
}

func TestASnapshotOfOtherBytesIsNotTaken(t *testing.T) {
	s := &State{}
	taken(t, s, ConfigUpdate{Body: big(1, 20, 0, 800)})
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
	f.Add(taken(f, s, ConfigUpdate{Body: big(1, 20, 0, 800)}))
	f.Add(taken(f, s, ConfigUpdate{BaseVersion: 1, Body: big(2, 20, 1, 9)}))
	f.Add([]byte{0, 1, 0, 2})
	base := s.Snapshot()
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := DecodeChange(b)
		if err != nil {
			return
		}
		if c.UpdateConfig != nil && !bytes.Equal(EncodeChange(c), b) && b[0] == configUpdateMarker {
			t.Fatalf("%x is written as %x", b, EncodeChange(c))
		}
		s, _ := Restore(base)
		before := s.ConfigBody
		if s.Apply(s.Index+1, c) != nil && !bytes.Equal(before, s.ConfigBody) {
			t.Fatal("applied in part")
		}
	})
}

func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 900, 2000} {
		for _, changes := range []int{10, 100, 400, 2000} {
			b.Run(fmt.Sprintf("routes=%d/changes=%d", n, changes), func(b *testing.B) {
				s := &State{}
				taken(b, s, ConfigUpdate{Body: big(1, n, 0, 800)})
				base, entries, size := s.Snapshot(), []Change{}, 0
				for i := range changes {
					e := taken(b, s, ConfigUpdate{BaseVersion: int64(i + 1), Body: big(int64(i+2), n, i%n, 9+i)})
					c, _ := DecodeChange(e)
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
