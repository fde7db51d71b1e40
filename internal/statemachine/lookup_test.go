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
