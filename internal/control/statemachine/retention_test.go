package statemachine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// storm takes orders, each so many milliseconds after the one before, with snapshots between.
func storm(t testing.TB, s *State, orders int, every int64) (*State, []Configure) {
	var all []Configure
	for i := range orders {
		c := Configure{Base: s.Gen, Body: configBody(int(s.Gen)+1+i%3, fmt.Sprint("h", i))}
		require.NoError(t, s.Apply(s.Index+1, Change{Led: s.Led + every, Configure: &c}))
		all = append(all, c)
		if i%500 == 7 {
			var err error
			s, err = Restore(s.Snapshot())
			require.NoError(t, err)
		}
	}
	return s, all
}

func TestAllOrdersOfAStormAreTakenOnce(t *testing.T) {
	s, all := storm(t, &State{}, 2000, 60)
	for i := range all {
		plan, err := s.Check(&all[i])
		require.NoError(t, err, "order %d of %d", i, len(all))
		require.Nil(t, plan)
		other := all[i]
		other.Body = append([]byte(" "), other.Body...)
		_, err = s.Check(&other)
		require.ErrorIs(t, err, ErrOther, "not as it was sent")
		other = all[i]
		other.Amend = true
		_, err = s.Check(&other)
		require.ErrorIs(t, err, ErrOther, "another call")
	}
	bytes := len(packTaken(s.Taken))
	t.Logf("%d orders are remembered in %d bytes, of a snapshot of %d", len(s.Taken), bytes, len(s.Snapshot()))
	require.Less(t, bytes, 2000*22)
}

// What is remembered goes by led time, and never is less than the newest Least, nor more than Most.
func TestOrdersAreForgottenByLedTime(t *testing.T) {
	s, all := storm(t, &State{}, Least+10, 0)
	s, late := storm(t, s, 1, Remembered-2)
	_, err := s.Check(&all[9])
	require.NoError(t, err, "within the time")
	s, _ = storm(t, s, 3, 3)
	_, err = s.Check(&all[9])
	require.ErrorIs(t, err, ErrOther, "older, and not among the newest")
	_, err = s.Check(&all[Least+9])
	require.NoError(t, err, "older, but among the newest")
	_, err = s.Check(&late[0])
	require.NoError(t, err)
	led := s.Led
	require.NoError(t, s.Apply(s.Index+1, Change{Led: 5, Router: &Router{Node: "r"}}))
	require.Equal(t, led, s.Led, "led time never goes back")
}

func TestMemoryIsBoundedWhateverThePace(t *testing.T) {
	s := &State{}
	for i := range int64(Most + 100) {
		s.Led++
		s.take(Identity{Base: i})
		s.depart(fmt.Sprint("i-", i))
	}
	require.Len(t, s.Taken, Most)
	require.Len(t, s.Gone, Most)
	require.LessOrEqual(t, len(packTaken(s.Taken)), 32*Most, "the most in bytes, as the page has it")
	require.True(t, s.taken(Identity{Base: Most + 99}))
	require.False(t, s.taken(Identity{Base: 99}))
}

// A beat that comes after its host's leave brings nobody back, however many left since.
func TestAHostThatLeftStaysAway(t *testing.T) {
	s := &State{}
	do := func(led int64, c Change) error { c.Led = s.Led + led; return s.Apply(s.Index+1, c) }
	enter := func(id, address string) Change { return Change{Enter: &Host{ID: id, Service: "db", Address: address}} }
	require.NoError(t, do(1, enter("first", "1.1.1.1:1")))
	require.NoError(t, do(1, Change{Leave: "first"}))
	for i := range 3 * Least {
		id := fmt.Sprint("i-", i)
		require.NoError(t, do(10, enter(id, "1.1.1.1:2")))
		require.NoError(t, do(10, Change{Leave: id}))
		if i%1000 == 7 {
			var err error
			s, err = Restore(s.Snapshot())
			require.NoError(t, err)
		}
	}
	require.NoError(t, do(1, enter("new", "1.1.1.1:1")))
	require.ErrorIs(t, do(1, enter("first", "1.1.1.1:1")), ErrUnknown)
	require.Contains(t, s.Hosts, "new", "whoever is at its address stays")
	require.NotContains(t, s.Hosts, "first")
}

func TestOrdersOfASnapshotThatDoNotFitAreRefused(t *testing.T) {
	good := []Taken{{Identity{Base: 3, Sum: [16]byte{1}}, 5}, {Identity{Base: 900, Sum: [16]byte{2}}, 5}}
	b := packTaken(good)
	back, err := unpackTaken(b)
	require.NoError(t, err)
	require.Equal(t, good, back)
	for cut := 1; cut < len(b); cut++ {
		if all, err := unpackTaken(b[:cut]); err == nil {
			require.Equal(t, good[:1], all, "cut at %d", cut)
		}
	}
	for name, bad := range map[string][]Taken{
		"the same base twice": {good[0], good[0]},
		"bases that fall":     {good[1], good[0]},
		"time that falls":     {good[0], {Identity{Base: 7}, 4}},
		"too many":            make([]Taken, Most+1),
	} {
		for i := range bad {
			if len(bad) > 2 {
				bad[i].Base = int64(i)
			}
		}
		_, err := unpackTaken(packTaken(bad))
		require.Error(t, err, name)
		snapshot := &State{Taken: bad}
		_, err = Restore(snapshot.Snapshot())
		require.Error(t, err, name)
	}
}

func FuzzUnpackTaken(f *testing.F) {
	f.Add([]byte{})
	f.Add(packTaken([]Taken{{Identity{Base: 0, Sum: [16]byte{7}}, 0}, {Identity{Base: 1 << 62}, 1 << 40}}))
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		all, err := unpackTaken(b)
		if err != nil {
			return
		}
		again, err := unpackTaken(packTaken(all))
		require.NoError(t, err)
		require.Equal(t, all, again)
		s := &State{Taken: all}
		for _, t := range all {
			s.taken(t.Identity)
		}
	})
}
