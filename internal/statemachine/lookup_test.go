package statemachine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// After each change, the incrementally updated lookup equals one that is built from scratch.
func TestLookupFollowsEachChange(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		state := &State{}
		pick := func(kind string, count int) string { return fmt.Sprintf("%s%d", kind, random.IntN(count)) }
		for index := range uint64(300) {
			change := Change{}
			switch random.IntN(7) {
			case 0, 1:
				change.AddHost = &Host{ID: fmt.Sprintf("h%d", random.IntN(400)), Service: pick("db", 4), Address: pick("a", 12)}
			case 2:
				change.RemoveHost = pick("h", 400)
			case 3:
				change.RevokePrimary = &RevokePrimary{Service: pick("db", 5), Owner: "m"}
			case 4:
				change.AppointPrimary = &AppointPrimary{Service: pick("db", 5), Host: pick("h", 400), Term: index}
			case 5:
				change.MarkMissing = pick("h", 400)
			case 6:
				change.HostLeaving = pick("h", 400)
			}
			before := state.Checksum()
			changedIndex := maps.Clone(state.ensureLookup().changedIndex)
			_ = state.Apply(index+1, change) // a rejected change still advances the index
			fresh := *state
			fresh.lookup = nil
			require.Equal(t, fresh.ensureLookup().hostsByService, state.ensureLookup().hostsByService)
			require.Equal(t, fresh.ensureLookup().hostsByAddress, state.ensureLookup().hostsByAddress)
			require.Equal(t, fresh.ServiceNames(), state.ServiceNames())
			require.Equal(t, fresh.LatestRevocation(), state.LatestRevocation())
			for _, id := range slices.Sorted(maps.Keys(state.Hosts)) {
				require.Contains(t, state.HostIDs(state.Hosts[id].Service), id)
			}
			if maps.Equal(changedIndex, state.ensureLookup().changedIndex) {
				state.Index, fresh.Index = index, index
				require.Equal(t, before, state.Checksum(), "seed %d, index %d: the state changed, but no service is marked as changed", seed, index+1)
				state.Index = index + 1
			}
		}
	}
}

// A removed host is remembered until another host uses its address, whichever its service, and no more than maxFormerHosts are.
func TestFormerHostsAreForgottenOnceTheirAddressesAreUsed(t *testing.T) {
	state := &State{}
	apply := func(changes ...Change) {
		for _, change := range changes {
			require.NoError(t, state.Apply(state.Index+1, change))
		}
	}
	add := func(id, service, address string) Change {
		return Change{AddHost: &Host{ID: id, Service: service, Address: address}}
	}
	apply(add("h1", "db", "a1"), add("h2", "db", "a2"), add("h3", "other", "a3"))
	apply(Change{RemoveHost: "h1"}, Change{RemoveHost: "h2"}, Change{RemoveHost: "h3"})
	ids := func(service string) (ids []string) {
		for _, former := range state.FormerHosts(service) {
			ids = append(ids, former.ID)
		}
		return ids
	}
	require.Equal(t, []string{"h1", "h2"}, ids("db"))
	known, found := state.KnownHost("h2")
	require.True(t, found)
	require.Equal(t, "a2", known.Address)

	apply(add("h4", "other", "a2"))
	require.Equal(t, []string{"h1"}, ids("db"))
	_, found = state.KnownHost("h2")
	require.False(t, found)
	apply(Change{RemoveHost: "h4"}, add("h5", "db", "a2"), Change{RemoveHost: "h5"})
	require.Equal(t, []string{"h1", "h5"}, ids("db"), "the newest at its address")
	require.Equal(t, []string{"h3"}, ids("other"))

	for n := range maxFormerHosts {
		id := fmt.Sprintf("n%d", n)
		apply(add(id, "db", "b"+id), Change{RemoveHost: id})
	}
	require.Len(t, ids("db"), maxFormerHosts)
	require.Equal(t, "n0", ids("db")[0])
}
