package control

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// leaderLoss is the way in which a leader is lost.
type leaderLoss string

const (
	killed        leaderLoss = "killed"
	poweredOff    leaderLoss = "powered off"
	suspended     leaderLoss = "suspended"
	partitioned   leaderLoss = "partitioned"
	cannotSend    leaderLoss = "cannot send"
	cannotReceive leaderLoss = "cannot receive"
)

// leaderLossRun simulates one cluster whose leader is lost.
type leaderLossRun struct {
	*partitionCluster
	lostLeader        *partitionMember
	confirmedAfterMs  int64 // time from the first attempt of the update to its confirmation; 0 if it was never confirmed
	newLeaderAfterMs  int64 // time from the loss until another member leads
	lostAtMs          int64
	updateStartedAtMs int64
}

// runLeaderLoss fails the leader and, within the next 500 ms, makes an update to the other members. The update is retried with a
// growing backoff after a rejection or after 1 s without a response. It returns nil if there was no leader.
func runLeaderLoss(seed uint64, loss leaderLoss) *leaderLossRun {
	r := &leaderLossRun{partitionCluster: newPartitionCluster(seed, 3, 0, 0, noSafeguard)}
	r.faultsDisabled = true
	r.RunFor(1500)
	r.operatorsStopped = true
	r.RunFor(1500 + r.Between(0, 400))
	for _, m := range r.members {
		if m.server.leading {
			r.lostLeader = m
		}
	}
	if r.lostLeader == nil {
		return nil
	}
	r.lostAtMs = r.Now
	r.lose(loss)
	r.pollForNewLeader()
	r.After(r.Between(0, 500), r.update)
	r.RunFor(8000)
	return r
}

func (r *leaderLossRun) lose(loss leaderLoss) {
	switch loss {
	case killed, poweredOff:
		r.lostLeader.crash(loss == poweredOff)
		return
	case suspended:
		r.lostLeader.suspendFor(20000)
		return
	}
	for _, other := range r.members {
		if other == r.lostLeader {
			continue
		}
		if loss != cannotReceive {
			r.lostLeader.blocked[other.ip] = dropFrames
		}
		if loss != cannotSend {
			other.blocked[r.lostLeader.ip] = dropFrames
		}
	}
}

// pollForNewLeader records when another member starts to lead.
func (r *leaderLossRun) pollForNewLeader() {
	for _, m := range r.members {
		if m != r.lostLeader && m.server.leading {
			r.newLeaderAfterMs = r.Now - r.lostAtMs
			return
		}
	}
	r.After(5, r.pollForNewLeader)
}

func (r *leaderLossRun) update() {
	base := int64(0)
	for _, m := range r.members {
		if m != r.lostLeader {
			base = max(base, m.server.state.Generation)
		}
	}
	r.updateStartedAtMs = r.Now
	r.attempt(base, fmt.Appendf(nil, `{"Generation":%d,"Routes":[{"Name":"x","Host":"h","PathPrefix":"/","Kind":"leader","DeadlineMs":500,"TargetMs":100,"Priority":1,"Service":"db","MaxTries":1}],"Services":[{"Name":"db","MaxConns":5}]}`, base+1000), 0)
}

func (r *leaderLossRun) attempt(base int64, body []byte, number int) {
	m := r.members[r.Rand.IntN(3)]
	for m == r.lostLeader {
		m = r.members[r.Rand.IntN(3)]
	}
	finished := false
	retry := func() {
		if !finished {
			finished = true
			r.After(50+50*int64(min(number, 8)), func() { r.attempt(base, body, number+1) })
		}
	}
	m.call(http.MethodPost, configReplace.path, fmt.Sprint(base), body, func(status int, _ []byte) {
		if finished {
			return
		}
		if status != http.StatusOK {
			retry()
			return
		}
		finished = true
		if r.confirmedAfterMs == 0 {
			r.confirmedAfterMs = r.Now - r.updateStartedAtMs
		}
	})
	r.After(1000, retry)
}

// An update made while the leader fails is confirmed by the majority within 1.2 s, or 2 s if the leader can still send.
func TestUpdatesContinueAfterLeaderLoss(t *testing.T) {
	t.Parallel()
	for _, loss := range []leaderLoss{killed, poweredOff, suspended, partitioned, cannotSend, cannotReceive} {
		var confirmedAfterMs, newLeaderAfterMs []int64
		for seed := range uint64(60) {
			r := runLeaderLoss(seed, loss)
			if r == nil {
				continue
			}
			require.Positive(t, r.confirmedAfterMs, "%s, seed %d: never confirmed", loss, seed)
			confirmedAfterMs, newLeaderAfterMs = append(confirmedAfterMs, r.confirmedAfterMs), append(newLeaderAfterMs, r.newLeaderAfterMs)
		}
		slices.Sort(confirmedAfterMs)
		slices.Sort(newLeaderAfterMs)
		bound := int64(1200)
		if loss == cannotReceive { // the leader must first detect that it has lost its lease
			bound = 2000
		}
		count := len(confirmedAfterMs)
		require.Less(t, confirmedAfterMs[count-1], bound, loss)
		require.Less(t, confirmedAfterMs[count/2], bound*3/4, loss)
		t.Logf("%s: confirmed after %d ms, at most %d; another leads after %d, at most %d (%d losses)",
			loss, confirmedAfterMs[count/2], confirmedAfterMs[count-1], newLeaderAfterMs[count/2], newLeaderAfterMs[count-1], count)
	}
}
