package faultplan

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestScheduleFollowsFromItsSeedAndEndsInTime(t *testing.T) {
	const span = 20 * time.Second
	system := System{Members: 3, Proxies: 4}
	kinds := map[Kind]bool{}
	for seed := range uint64(50) {
		events := Draw(seed, system, span)
		require.Equal(t, events, Draw(seed, system, span))
		require.True(t, slices.IsSortedFunc(events, func(a, b Event) int { return int(a.At - b.At) }))
		for _, event := range events {
			kinds[event.Kind] = true
			require.Less(t, event.At+event.Duration, span, "%s", event)
			require.Less(t, event.TargetIndex, map[Target]int{NoTarget: 1, Member: system.Members, Proxy: system.Proxies}[event.Target], "%s", event)
		}
	}
	require.Len(t, kinds, int(kindCount))
}
