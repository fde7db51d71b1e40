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

func TestConcurrentUpdatesConflictAndResentOnesAreRecognised(t *testing.T) {
	state := &State{}
	first := ConfigUpdate{BaseVersion: 0, Body: configBody(3, "a")}
	require.NoError(t, state.Apply(1, Change{UpdateConfig: &first}))
	second, concurrent := ConfigUpdate{BaseVersion: 3, Body: configBody(5, "b")}, ConfigUpdate{BaseVersion: 3, Body: configBody(6, "c")}
	require.NoError(t, state.Apply(2, Change{UpdateConfig: &second}))
	require.ErrorIs(t, state.Apply(3, Change{UpdateConfig: &concurrent}), ErrVersionConflict)
	require.EqualValues(t, 5, state.Generation)
	result, err := state.CheckConfig(&first) // a retry after the response was lost and another update was applied
	require.NoError(t, err)
	require.Nil(t, result)
	_, err = state.CheckConfig(&ConfigUpdate{BaseVersion: 5, Body: configBody(5, "d")})
	require.ErrorIs(t, err, ErrInvalid)
	_, err = state.CheckConfig(&ConfigUpdate{BaseVersion: 5, Body: []byte("{")})
	require.ErrorIs(t, err, ErrInvalid)
	_, err = (&State{}).CheckConfig(&ConfigUpdate{IsAmendment: true, Body: []byte(`{"Generation":1}`)})
	require.ErrorIs(t, err, ErrInvalid)
}

func TestFencingTokenRisesWithEachOwner(t *testing.T) {
	state := &State{}
	require.NoError(t, state.Apply(1, Change{AppointPrimary: &AppointPrimary{Service: "db", Host: "h0", Term: 1}}))
	require.NoError(t, state.Apply(2, Change{RevokePrimary: &RevokePrimary{"db", "a"}}))
	require.NoError(t, state.Apply(3, Change{RevokePrimary: &RevokePrimary{"db", "a"}}))
	require.EqualValues(t, 2, state.Primaries["db"].FencingToken)
	require.EqualValues(t, 2, state.Primaries["db"].ChangedIndex, "a second revocation does not change ChangedIndex")
	require.NoError(t, state.Apply(4, Change{RevokePrimary: &RevokePrimary{"db", "b"}}))
	require.EqualValues(t, 4, state.Primaries["db"].FencingToken)
	require.NoError(t, state.Apply(5, Change{NominatePrimary: &NominatePrimary{"db", "h1", "b"}}))
	require.NoError(t, state.Apply(6, Change{AppointPrimary: &AppointPrimary{Service: "db", Host: "h1", Term: 2}}))
	require.Equal(t, Primary{Host: "h1", Term: 2, FencingToken: 4, Owner: "b", ChangedIndex: 6, ReplicasPaused: true}, state.Primaries["db"])
	require.NoError(t, state.Apply(7, Change{ReplicationResumed: "db"}))
	require.False(t, state.Primaries["db"].ReplicasPaused)
	require.NoError(t, state.Apply(8, Change{NominatePrimary: &NominatePrimary{"db", "h2", "b"}}))
	require.NoError(t, state.Apply(9, Change{ReplicationResumed: "db"}), "a delayed ReplicationResumed has no effect during a failover")
	require.True(t, state.Primaries["db"].ReplicasPaused)
	require.True(t, errors.Is(state.Apply(10, Change{DrainHost: "nobody"}), ErrNotFound))
}

// A removed replica may be the only host that received a write. It stays unaccounted for until a new host at its address or other
// hosts are known to have its log.
func TestRemovedReplicaIsUnaccountedUntilItsLogIsElsewhere(t *testing.T) {
	state := &State{}
	addHost := func(i uint64, id, address string) {
		require.NoError(t, state.Apply(i, Change{AddHost: &Host{ID: id, Service: "db", Address: address}}))
	}
	for i, id := range []string{"h0", "h1", "h2", "h3"} {
		addHost(uint64(i)+1, id, "1.1.1.1:"+id[1:])
	}
	require.NoError(t, state.Apply(5, Change{AppointPrimary: &AppointPrimary{Service: "db", Host: "h0", Term: 1}}))
	for i, id := range []string{"h1", "h2", "h0"} {
		require.NoError(t, state.Apply(6+uint64(i), Change{RemoveHost: id}))
	}
	require.Equal(t, []string{"h1", "h2"}, state.UnaccountedHostIDs("db"), "a replica has every write that a primary acknowledged, so a removed primary is accounted for")
	addHost(9, "h4", "1.1.1.1:1")
	require.Equal(t, []string{"h2"}, state.UnaccountedHostIDs("db"), "a new host has the log of its predecessor at the same address")
	restored, err := Restore(state.Snapshot())
	require.NoError(t, err)
	require.Equal(t, state.UnaccountedHostIDs("db"), restored.UnaccountedHostIDs("db"))
	require.NoError(t, state.Apply(10, Change{MarkMissing: "h2"}))
	require.Empty(t, state.UnaccountedHostIDs("db"), "other hosts have all of its log")
	addHost(11, "h5", "1.1.1.1:3")
	require.NotContains(t, state.Hosts, "h3", "a host whose address is reused has ended, even if it did not announce it")
	require.Error(t, state.Apply(12, Change{AddHost: &Host{ID: "h3", Service: "db", Address: "1.1.1.1:3"}}), "a delayed heartbeat of a removed host")
	require.Contains(t, state.Hosts, "h5")
}

// A host that leaves without draining first stays listed as draining until it is removed, and its heartbeats are accepted.
func TestHostThatLeavesWithoutDrainingStaysListedUntilRemoved(t *testing.T) {
	state := &State{}
	apply := func(change Change) error {
		decoded, err := DecodeChange(EncodeChange(change))
		require.NoError(t, err)
		require.Equal(t, change, decoded)
		return state.Apply(state.Index+1, decoded)
	}
	host := Host{ID: "h1", Service: "db", Address: "1.1.1.1:1"}
	require.NoError(t, apply(Change{AddHost: &host}))
	require.ErrorIs(t, apply(Change{HostLeaving: "nobody"}), ErrNotFound)
	require.False(t, state.IsLeaving("h1"))

	require.NoError(t, apply(Change{HostLeaving: "h1"}))
	require.NoError(t, apply(Change{HostLeaving: "h1"}), "a retry")
	require.True(t, state.Hosts["h1"].Draining)
	require.NoError(t, apply(Change{MarkMissing: "h1"}))
	require.NoError(t, apply(Change{AddHost: &host}), "the host is running and sends heartbeats")
	require.True(t, state.Hosts["h1"].Draining, "a drain is final")
	require.False(t, state.Hosts["h1"].Missing)

	restored, err := Restore(state.Snapshot())
	require.NoError(t, err)
	require.True(t, restored.IsLeaving("h1"))
	require.False(t, restored.IsLeaving("nobody"))
	require.NoError(t, apply(Change{RemoveHost: "h1"}))
	require.False(t, state.IsLeaving("h1"))
	require.ErrorIs(t, apply(Change{AddHost: &host}), ErrNotFound, "a delayed heartbeat of a removed host")
}

// Replicas that apply the same changes have the same state, even if one of them is restored from snapshots in between.
func TestReplicasAgreeAcrossSnapshots(t *testing.T) {
	for seed := range 200 {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		continuous, restored := &State{}, &State{}
		for i := 1; i < 60; i++ {
			var change Change
			id := fmt.Sprintf("h%d", random.IntN(5))
			switch random.IntN(8) {
			case 0:
				change.UpdateConfig = &ConfigUpdate{BaseVersion: continuous.Generation, Body: configBody(int(continuous.Generation)+1+random.IntN(3), id)}
			case 1, 2:
				change.AddHost = &Host{ID: id, Service: "s", Address: "1.1.1.1:" + id[1:], Draining: random.IntN(3) == 0}
			case 3:
				change.RemoveHost = id
			case 4:
				change.RevokePrimary = &RevokePrimary{"s", id}
			case 5:
				change.AppointPrimary = &AppointPrimary{Service: "s", Host: id, Term: uint64(i)}
			case 6:
				change.UpdateProxy = &ProxyMembership{Name: id, Removed: random.IntN(3) == 0}
			case 7:
				change.NominatePrimary = &NominatePrimary{"s", id, "m"}
			}
			decoded, err := DecodeChange(EncodeChange(change))
			require.NoError(t, err)
			wantErr, gotErr := continuous.Apply(uint64(i), change), restored.Apply(uint64(i), decoded)
			require.Equal(t, wantErr == nil, gotErr == nil)
			require.NoError(t, restored.Apply(uint64(i), Change{RemoveHost: "h0"}), "an entry at an applied index is ignored")
			if random.IntN(5) == 0 {
				restored, err = Restore(restored.Snapshot())
				require.NoError(t, err)
			}
			require.Equal(t, continuous.Checksum(), restored.Checksum(), "seed %d, change %d", seed, i)
			require.Equal(t, continuous.Config(), restored.Config())
		}
	}
}

func FuzzDecodeChangeAndRestore(f *testing.F) {
	f.Add(EncodeChange(Change{RemoveHost: "x"}))
	f.Add((&State{Generation: 3}).Snapshot())
	f.Fuzz(func(t *testing.T, content []byte) {
		if change, err := DecodeChange(content); err == nil {
			if err := (&State{}).Apply(1, change); err != nil && !isKnownReason(err) {
				t.Fatalf("Apply returned an error that does not wrap one of this package's errors: %v", err)
			}
		} else if !errors.Is(err, ErrBadChange) {
			t.Fatalf("DecodeChange: error does not wrap ErrBadChange: %v", err)
		}
		if _, err := Restore(content); err != nil && !errors.Is(err, ErrBadSnapshot) {
			t.Fatalf("Restore: error does not wrap ErrBadSnapshot: %v", err)
		}
	})
}

func isKnownReason(err error) bool {
	return errors.Is(err, ErrVersionConflict) || errors.Is(err, ErrInvalid) || errors.Is(err, ErrNotFound) || errors.Is(err, ErrDiverged)
}

// Each error wraps exactly one of the package's sentinel errors, and its text names the subject.
func TestErrorsNameTheirSubject(t *testing.T) {
	state := &State{}
	applyUpdate(t, state, ConfigUpdate{Body: configBody(3, "a")})
	require.NoError(t, state.Apply(2, Change{AddHost: &Host{ID: "h1", Service: "s", Address: "1.1.1.1:1"}}))
	require.NoError(t, state.Apply(3, Change{RemoveHost: "h1"}))

	var conflict *VersionConflictError
	err := state.Apply(4, Change{UpdateConfig: &ConfigUpdate{BaseVersion: 2, Body: configBody(9, "b")}})
	require.ErrorAs(t, err, &conflict)
	require.ErrorIs(t, err, ErrVersionConflict)
	require.NotErrorIs(t, err, ErrInvalid)
	require.Equal(t, VersionConflictError{Current: 3, Base: 2}, *conflict)
	require.EqualError(t, err, "another version is in place: 3 is, the change builds on 2")

	var invalid *InvalidConfigError
	err = state.Apply(5, Change{UpdateConfig: &ConfigUpdate{BaseVersion: 3, Body: configBody(3, "b")}})
	require.ErrorAs(t, err, &invalid)
	require.ErrorIs(t, err, ErrInvalid)
	require.EqualValues(t, 3, invalid.Base)
	require.EqualError(t, err, "not valid: Generation: 3: not above 3")

	var host *HostError
	for i, c := range []struct {
		change Change
		want   HostError
		text   string
	}{
		{Change{AddHost: &Host{ID: "h1"}}, HostError{Host: "h1", Removed: true}, "not known: h1 has left"},
		{Change{DrainHost: "h2"}, HostError{Host: "h2"}, "not known: h2"},
	} {
		err := state.Apply(uint64(6+i), c.change)
		require.ErrorAs(t, err, &host)
		require.ErrorIs(t, err, ErrNotFound)
		require.Equal(t, c.want, *host)
		require.EqualError(t, err, c.text)
	}

	var diverged *DivergedError
	other := &State{}
	applyUpdate(t, other, ConfigUpdate{Body: configBody(3, "other")})
	update := ConfigUpdate{BaseVersion: 3, Body: configBody(4, "other")}
	result, err := other.CheckConfig(&update)
	require.NoError(t, err)
	_, err = (&State{}).CheckConfig(&ConfigUpdate{IsAmendment: true})
	require.EqualError(t, err, "not valid: nothing to amend")
	err = state.Apply(8, Change{UpdateConfig: other.MakeDelta(&update, result)})
	require.ErrorAs(t, err, &diverged)
	require.ErrorIs(t, err, ErrDiverged)
	require.Equal(t, DivergedError{Index: 8, Version: 3}, *diverged)
	require.EqualValues(t, 7, state.Index)
}
