package statemachine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// storm takes orders, each so many milliseconds after the one before, with snapshots between.
func storm(t testing.TB, s *State, orders int, every int64) (*State, []ConfigUpdate) {
	var all []ConfigUpdate
	for i := range orders {
		c := ConfigUpdate{BaseVersion: s.Generation, Body: configBody(int(s.Generation)+1+i%3, fmt.Sprint("h", i))}
		require.NoError(t, s.Apply(s.Index+1, Change{LedTimeMs: s.LedTimeMs + every, UpdateConfig: &c}))
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
		plan, err := s.CheckConfig(&all[i])
		require.NoError(t, err, "order %d of %d", i, len(all))
		require.Nil(t, plan)
		other := all[i]
		other.Body = append([]byte(" "), other.Body...)
		_, err = s.CheckConfig(&other)
		require.ErrorIs(t, err, ErrVersionConflict, "not as it was sent")
		other = all[i]
		other.IsAmendment = true
		_, err = s.CheckConfig(&other)
		require.ErrorIs(t, err, ErrVersionConflict, "another call")
	}
	bytes := len(encodeAppliedUpdates(s.AppliedUpdates))
	t.Logf("%d orders are remembered in %d bytes, of a snapshot of %d", len(s.AppliedUpdates), bytes, len(s.Snapshot()))
	require.Less(t, bytes, 2000*22)
}

// What is remembered goes by led time, and never is less than the newest Least, nor more than Most.
func TestOrdersAreForgottenByLedTime(t *testing.T) {
	s, all := storm(t, &State{}, MinRetained+10, 0)
	s, late := storm(t, s, 1, RetentionMs-2)
	_, err := s.CheckConfig(&all[9])
	require.NoError(t, err, "within the time")
	s, _ = storm(t, s, 3, 3)
	_, err = s.CheckConfig(&all[9])
	require.ErrorIs(t, err, ErrVersionConflict, "older, and not among the newest")
	_, err = s.CheckConfig(&all[MinRetained+9])
	require.NoError(t, err, "older, but among the newest")
	_, err = s.CheckConfig(&late[0])
	require.NoError(t, err)
	led := s.LedTimeMs
	require.NoError(t, s.Apply(s.Index+1, Change{LedTimeMs: 5, Proxy: &ProxyMembership{Node: "r"}}))
	require.Equal(t, led, s.LedTimeMs, "led time never goes back")
}

func TestMemoryIsBoundedWhateverThePace(t *testing.T) {
	s := &State{}
	for i := range int64(MaxRetained + 100) {
		s.LedTimeMs++
		s.recordUpdate(RequestID{BaseVersion: i})
		s.recordRemoval(fmt.Sprint("i-", i))
	}
	require.Len(t, s.AppliedUpdates, MaxRetained)
	require.Len(t, s.RemovedHosts, MaxRetained)
	require.LessOrEqual(t, len(encodeAppliedUpdates(s.AppliedUpdates)), 32*MaxRetained, "the most in bytes, as the page has it")
	require.True(t, s.alreadyApplied(RequestID{BaseVersion: MaxRetained + 99}))
	require.False(t, s.alreadyApplied(RequestID{BaseVersion: 99}))
}

// A beat that comes after its host's leave brings nobody back, however many left since.
func TestAHostThatLeftStaysAway(t *testing.T) {
	s := &State{}
	do := func(led int64, c Change) error { c.LedTimeMs = s.LedTimeMs + led; return s.Apply(s.Index+1, c) }
	enter := func(id, address string) Change {
		return Change{AddHost: &Host{ID: id, Service: "db", Address: address}}
	}
	require.NoError(t, do(1, enter("first", "1.1.1.1:1")))
	require.NoError(t, do(1, Change{RemoveHost: "first"}))
	for i := range 3 * MinRetained {
		id := fmt.Sprint("i-", i)
		require.NoError(t, do(10, enter(id, "1.1.1.1:2")))
		require.NoError(t, do(10, Change{RemoveHost: id}))
		if i%1000 == 7 {
			var err error
			s, err = Restore(s.Snapshot())
			require.NoError(t, err)
		}
	}
	require.NoError(t, do(1, enter("new", "1.1.1.1:1")))
	require.ErrorIs(t, do(1, enter("first", "1.1.1.1:1")), ErrNotFound)
	require.Contains(t, s.Hosts, "new", "whoever is at its address stays")
	require.NotContains(t, s.Hosts, "first")
}

func TestOrdersOfASnapshotThatDoNotFitAreRefused(t *testing.T) {
	good := []AppliedUpdate{{RequestID{BaseVersion: 3, Digest: [16]byte{1}}, 5}, {RequestID{BaseVersion: 900, Digest: [16]byte{2}}, 5}}
	b := encodeAppliedUpdates(good)
	back, err := decodeAppliedUpdates(b)
	require.NoError(t, err)
	require.Equal(t, good, back)
	for cut := 1; cut < len(b); cut++ {
		if all, err := decodeAppliedUpdates(b[:cut]); err == nil {
			require.Equal(t, good[:1], all, "cut at %d", cut)
		}
	}
	for name, bad := range map[string][]AppliedUpdate{
		"the same base twice": {good[0], good[0]},
		"bases that fall":     {good[1], good[0]},
		"time that falls":     {good[0], {RequestID{BaseVersion: 7}, 4}},
		"too many":            make([]AppliedUpdate, MaxRetained+1),
	} {
		for i := range bad {
			if len(bad) > 2 {
				bad[i].BaseVersion = int64(i)
			}
		}
		_, err := decodeAppliedUpdates(encodeAppliedUpdates(bad))
		require.Error(t, err, name)
		snapshot := &State{AppliedUpdates: bad}
		_, err = Restore(snapshot.Snapshot())
		require.Error(t, err, name)
	}
}

func FuzzUnpackTaken(f *testing.F) {
	f.Add([]byte{})
	f.Add(encodeAppliedUpdates([]AppliedUpdate{{RequestID{BaseVersion: 0, Digest: [16]byte{7}}, 0}, {RequestID{BaseVersion: 1 << 62}, 1 << 40}}))
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		all, err := decodeAppliedUpdates(b)
		if err != nil {
			return
		}
		again, err := decodeAppliedUpdates(encodeAppliedUpdates(all))
		require.NoError(t, err)
		require.Equal(t, all, again)
		s := &State{AppliedUpdates: all}
		for _, t := range all {
			s.alreadyApplied(t.RequestID)
		}
	})
}
