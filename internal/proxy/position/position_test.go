package position

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

func at(number uint64) wire.Position { return wire.Position{Timeline: 1, Number: number} }

func trackerOf(samples ...sample) *Tracker {
	t := &Tracker{}
	for _, s := range samples {
		t.Add(s.sentAt, s.position)
	}
	return t
}

func TestAddIgnoresOlderSamplesAndKeepsThemApart(t *testing.T) {
	tracker := trackerOf(sample{1000, at(10)}, sample{2000, at(20)})
	tracker.Add(3000, wire.Position{})
	tracker.Add(2000, at(30))
	tracker.Add(3000, at(19))
	require.Equal(t, []sample{{1000, at(10)}, {2000, at(20)}}, tracker.samples, "unknown, or older by time or position")
	tracker.Add(2100, at(21))
	tracker.Add(2150, at(22))
	require.Equal(t, []sample{{1000, at(10)}, {2000, at(20)}, {2150, at(22)}}, tracker.samples, "too close to the second to last")

	for i := range 2 * policy.TenthMs(maxSamples) {
		tracker.Add(10000+i*minSampleSpacing, at(uint64(100+i)))
	}
	require.Len(t, tracker.samples, maxSamples)
	latest, position := tracker.Latest()
	require.Equal(t, 10000+(2*maxSamples-1)*minSampleSpacing, latest)
	require.Equal(t, at(100+2*maxSamples-1), position)
}

func TestNoSampleMeansNothingIsKnown(t *testing.T) {
	tracker := trackerOf(sample{1000, at(10)})
	tracker.Clear()
	latest, _ := tracker.Latest()
	require.Equal(t, policy.TenthMs(-1), latest)
	require.Equal(t, policy.TenthMs(-1), tracker.UpToDateAsOf(at(99)))
	require.False(t, tracker.CoversBound(0, 1<<40))
	fence, ok := tracker.Fence(5000, 100, at(7))
	require.False(t, ok)
	require.Equal(t, at(7), fence)
}

func TestFenceIncludesWritesOlderThanTheBoundAndTheSessionsOwn(t *testing.T) {
	tracker := trackerOf(sample{10000, at(10)}, sample{20000, at(20)}, sample{30000, at(30)})
	for _, c := range []struct {
		bound policy.TenthMs
		token uint64
		fence uint64
		ok    bool
	}{
		{bound: 30000, fence: 10, ok: true},
		{bound: 22000, fence: 10, ok: true},
		{bound: 21999, fence: 20, ok: true},
		{bound: 12000, token: 15, fence: 20, ok: true},
		{bound: 12000, token: 25, fence: 25, ok: true},
		{bound: 2000, fence: 30, ok: true},
		{bound: 1999, token: 5, fence: 5, ok: false},
	} {
		fence, ok := tracker.Fence(30000, c.bound, at(c.token))
		require.Equal(t, c.ok, ok, "%+v", c)
		require.Equal(t, at(c.fence), fence, "%+v", c)
	}
	require.True(t, tracker.CoversBound(30000, 4000))
	require.False(t, tracker.CoversBound(30000, 3999))
}

func TestUpToDateAsOfIsTheLatestSampleThatAPositionIncludes(t *testing.T) {
	tracker := trackerOf(sample{10000, at(10)}, sample{20000, at(20)})
	require.Equal(t, policy.TenthMs(-1), tracker.UpToDateAsOf(at(9)))
	require.Equal(t, policy.TenthMs(10000), tracker.UpToDateAsOf(at(19)))
	require.Equal(t, policy.TenthMs(20000), tracker.UpToDateAsOf(at(20)))
}

func TestNextPrimaryIsDueAQuarterAfterTheLastPromotionsDuration(t *testing.T) {
	require.Equal(t, policy.TenthMs(5+8750), NextPrimaryDue(5, 0, true))
	require.Equal(t, policy.TenthMs(5+5000), NextPrimaryDue(5, 400, true))
	require.Equal(t, policy.TenthMs(5+5620), NextPrimaryDue(5, 400, false))
}
