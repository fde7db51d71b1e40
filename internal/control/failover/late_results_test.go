package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A member becomes leader again and sends the same queries with the same serial numbers as in its previous term. Every result
// still in flight from that term must be ignored, and the failover must complete as it would without them.
func TestResultsOfEarlierLeadershipAreDiscarded(t *testing.T) {
	totalOutstanding, serialsReused := 0, 0
	for after := int64(0); after < 500; after += 10 {
		for _, gap := range []int64{0, 10, 50} {
			h := newHarness(t)
			h.run(1200)
			h.stopPrimary(true)
			h.suspectPrimary()
			h.run(after)
			outstanding, lastSerial := h.outstanding, h.coordinator.lastSerial
			for i := range h.events {
				h.events[i].at += gap
			}
			totalOutstanding += outstanding
			h.startLeader("control", 2)
			h.suspectPrimary()
			h.run(gap + queryTimeoutMs + 20)
			if h.coordinator.lastSerial >= lastSerial && lastSerial > 0 {
				serialsReused++
			}
			require.Equal(t, outstanding, h.discarded, "after %d ms: a result from the previous term was accepted", after)
			h.run(300)
			if len(h.promotions) > 0 {
				h.promote(h.promotions[len(h.promotions)-1].Host)
			}
			h.run(3000)
			require.NotEqual(t, "h0", h.primary().Host, "after %d ms", after)
		}
	}
	require.Greater(t, totalOutstanding, 100)
	require.Greater(t, serialsReused, 100)
}

// Only the result of the pending request is accepted, not one for an earlier request or another host, service, token, term or
// serial number.
func TestOnlyThePendingRequestIsCompleted(t *testing.T) {
	h := newHarness(t)
	h.promotionOutcome = func(int) PromotionOutcome { return PromotionUnknown }
	h.stopPrimary(false)
	h.suspectPrimary()
	for len(h.promotions) < 2 {
		h.run(10)
		require.Less(t, h.now, int64(testStartMs+20000))
	}
	first, second := h.promotions[0], h.promotions[1]
	require.NotEqual(t, first, second)
	require.Equal(t, first.Host, second.Host)
	for name, promotion := range map[string]Promotion{
		"earlier request": first,
		"another host":    {second.Service, "h9", second.Owner, second.FencingToken, second.LeaderTerm, second.Serial},
		"another service": {"other", second.Host, second.Owner, second.FencingToken, second.LeaderTerm, second.Serial},
		"another token":   {second.Service, second.Host, second.Owner, second.FencingToken + 1, second.LeaderTerm, second.Serial},
		"another term":    {second.Service, second.Host, second.Owner, second.FencingToken, second.LeaderTerm + 1, second.Serial},
		"another serial":  {second.Service, second.Host, second.Owner, second.FencingToken, second.LeaderTerm, second.Serial + 1},
	} {
		require.False(t, h.coordinator.PromotionFinished(promotion, PromotionSucceeded, h.now), name)
	}
	require.Zero(t, h.coordinator.Counters.Promoted)
	require.True(t, h.coordinator.PromotionFinished(second, PromotionSucceeded, h.now))
	require.False(t, h.coordinator.PromotionFinished(second, PromotionSucceeded, h.now), "twice")
	require.EqualValues(t, 1, h.coordinator.Counters.Promoted)

	query := HostQuery{"db", "h1", Stat, 0, 1, 1 << 30}
	h.coordinator.services["db"].pendingQueries["h1"] = &pendingQuery{query, h.now}
	for name, change := range map[string]func(query *HostQuery){
		"another command":     func(query *HostQuery) { query.Command = Resume },
		"another term":        func(query *HostQuery) { query.Term = 9 },
		"another leader term": func(query *HostQuery) { query.LeaderTerm = 2 },
		"another serial":      func(query *HostQuery) { query.Serial-- },
		"another host":        func(query *HostQuery) { query.Host = "h2" },
		"another service":     func(query *HostQuery) { query.Service = "none" },
	} {
		other := query
		change(&other)
		require.False(t, h.coordinator.QueryFinished(QueryResult{Query: other}, h.now), name)
	}
	require.True(t, h.coordinator.QueryFinished(QueryResult{Query: query}, h.now))
	require.False(t, h.coordinator.QueryFinished(QueryResult{Query: query}, h.now), "twice")
}
