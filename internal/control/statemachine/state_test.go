package statemachine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func configBody(generation int, host string) []byte {
	return fmt.Appendf(nil, `{"Generation":%d,"Routes":[{"Name":"r","Host":%q,"Kind":"leader","DeadlineMs":9,"Service":"s"}],"Services":[{"Name":"s"}]}`, generation, host)
}

func TestOfTwoChangesOnOneVersionOneWinsAndALostAnswerIsFoundAgain(t *testing.T) {
	s := &State{}
	first := ConfigUpdate{BaseVersion: 0, Body: configBody(3, "a")}
	require.NoError(t, s.Apply(1, Change{UpdateConfig: &first}))
	one, other := ConfigUpdate{BaseVersion: 3, Body: configBody(5, "b")}, ConfigUpdate{BaseVersion: 3, Body: configBody(6, "c")}
	require.NoError(t, s.Apply(2, Change{UpdateConfig: &one}))
	require.ErrorIs(t, s.Apply(3, Change{UpdateConfig: &other}), ErrVersionConflict)
	require.EqualValues(t, 5, s.Generation)
	plan, err := s.CheckConfig(&first) // sent again after an answer was lost, and after others
	require.NoError(t, err)
	require.Nil(t, plan)
	_, err = s.CheckConfig(&ConfigUpdate{BaseVersion: 5, Body: configBody(5, "d")})
	require.ErrorIs(t, err, ErrInvalid)
	_, err = s.CheckConfig(&ConfigUpdate{BaseVersion: 5, Body: []byte("{")})
	require.ErrorIs(t, err, ErrInvalid)
	_, err = (&State{}).CheckConfig(&ConfigUpdate{IsAmendment: true, Body: []byte(`{"Generation":1}`)})
	require.ErrorIs(t, err, ErrInvalid)
}

func TestAFenceRisesWithEachHolderAndALeadIsNotedOnce(t *testing.T) {
	s := &State{}
	require.NoError(t, s.Apply(1, Change{AppointPrimary: &AppointPrimary{Service: "db", Host: "h0", Term: 1}}))
	require.NoError(t, s.Apply(2, Change{RevokePrimary: &RevokePrimary{"db", "a"}}))
	require.NoError(t, s.Apply(3, Change{RevokePrimary: &RevokePrimary{"db", "a"}}))
	require.EqualValues(t, 2, s.Primaries["db"].FencingToken)
	require.EqualValues(t, 2, s.Primaries["db"].ChangedAt, "what was taken back once is handed back once")
	require.NoError(t, s.Apply(4, Change{RevokePrimary: &RevokePrimary{"db", "b"}}))
	require.EqualValues(t, 4, s.Primaries["db"].FencingToken)
	require.NoError(t, s.Apply(5, Change{NominatePrimary: &NominatePrimary{"db", "h1", "b"}}))
	require.NoError(t, s.Apply(6, Change{AppointPrimary: &AppointPrimary{Service: "db", Host: "h1", Term: 2}}))
	require.Equal(t, Primary{Host: "h1", Term: 2, FencingToken: 4, Owner: "b", ChangedAt: 6, ReplicasPaused: true}, s.Primaries["db"])
	require.NoError(t, s.Apply(7, Change{ReplicationResumed: "db"}))
	require.False(t, s.Primaries["db"].ReplicasPaused)
	require.NoError(t, s.Apply(8, Change{NominatePrimary: &NominatePrimary{"db", "h2", "b"}}))
	require.NoError(t, s.Apply(9, Change{ReplicationResumed: "db"}), "one that comes late changes nothing")
	require.True(t, s.Primaries["db"].ReplicasPaused)
	require.True(t, errors.Is(s.Apply(10, Change{DrainHost: "nobody"}), ErrNotFound))
}

// What a replica that left may alone have had is owed until its log is elsewhere.
func TestAReplicaThatLeavesIsOwedUntilItsLogIsElsewhere(t *testing.T) {
	s := &State{}
	enter := func(i uint64, id, address string) {
		require.NoError(t, s.Apply(i, Change{AddHost: &Host{ID: id, Service: "db", Address: address}}))
	}
	for i, id := range []string{"h0", "h1", "h2", "h3"} {
		enter(uint64(i)+1, id, "1.1.1.1:"+id[1:])
	}
	require.NoError(t, s.Apply(5, Change{AppointPrimary: &AppointPrimary{Service: "db", Host: "h0", Term: 1}}))
	for i, id := range []string{"h1", "h2", "h0"} {
		require.NoError(t, s.Apply(6+uint64(i), Change{RemoveHost: id}))
	}
	require.Equal(t, []string{"h1", "h2"}, s.UnaccountedHostIDs("db"), "a primary acknowledges what another has received")
	enter(9, "h4", "1.1.1.1:1")
	require.Equal(t, []string{"h2"}, s.UnaccountedHostIDs("db"), "a new host takes the log that is at its address")
	again, err := Restore(s.Snapshot())
	require.NoError(t, err)
	require.Equal(t, s.UnaccountedHostIDs("db"), again.UnaccountedHostIDs("db"))
	require.NoError(t, s.Apply(10, Change{MarkMissing: "h2"}))
	require.Empty(t, s.UnaccountedHostIDs("db"), "others have reached it")
	enter(11, "h5", "1.1.1.1:3")
	require.NotContains(t, s.Hosts, "h3", "one whose address is used again has ended, whether it could say so or not")
	require.Error(t, s.Apply(12, Change{AddHost: &Host{ID: "h3", Service: "db", Address: "1.1.1.1:3"}}), "a beat that came late")
	require.Contains(t, s.Hosts, "h5")
}

// Members that apply the same changes hold the same, wherever each took a snapshot.
func TestSnapshotsStandForAllBefore(t *testing.T) {
	for seed := range 200 {
		chance := rand.New(rand.NewPCG(uint64(seed), 1))
		a, b := &State{}, &State{}
		for i := 1; i < 60; i++ {
			var c Change
			id := fmt.Sprintf("h%d", chance.IntN(5))
			switch chance.IntN(8) {
			case 0:
				c.UpdateConfig = &ConfigUpdate{BaseVersion: a.Generation, Body: configBody(int(a.Generation)+1+chance.IntN(3), id)}
			case 1, 2:
				c.AddHost = &Host{ID: id, Service: "s", Address: "1.1.1.1:" + id[1:], Draining: chance.IntN(3) == 0}
			case 3:
				c.RemoveHost = id
			case 4:
				c.RevokePrimary = &RevokePrimary{"s", id}
			case 5:
				c.AppointPrimary = &AppointPrimary{Service: "s", Host: id, Term: uint64(i)}
			case 6:
				c.Proxy = &ProxyMembership{Node: id, Removed: chance.IntN(3) == 0}
			case 7:
				c.NominatePrimary = &NominatePrimary{"s", id, "m"}
			}
			decoded, err := DecodeChange(EncodeChange(c))
			require.NoError(t, err)
			wantErr, gotErr := a.Apply(uint64(i), c), b.Apply(uint64(i), decoded)
			require.Equal(t, wantErr == nil, gotErr == nil)
			require.NoError(t, b.Apply(uint64(i), Change{RemoveHost: "h0"}), "what was applied is passed over")
			if chance.IntN(5) == 0 {
				b, err = Restore(b.Snapshot())
				require.NoError(t, err)
			}
			require.Equal(t, a.Checksum(), b.Checksum(), "seed %d, change %d", seed, i)
			require.Equal(t, a.Config(), b.Config())
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(EncodeChange(Change{RemoveHost: "x"}))
	f.Add((&State{Generation: 3}).Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := DecodeChange(b); err == nil {
			(&State{}).Apply(1, c)
		}
		Restore(b)
	})
}
