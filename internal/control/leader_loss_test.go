package control

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// leaderLoss is how a leader is lost.
type leaderLoss string

const (
	killed       leaderLoss = "killed"
	poweredOff   leaderLoss = "powered off"
	suspended    leaderLoss = "suspended"
	partitioned  leaderLoss = "partitioned"
	cannotSend   leaderLoss = "cannot send"
	cannotListen leaderLoss = "cannot receive"
)

// leaderLossRun is one cluster whose leader is lost. Times are in milliseconds.
type leaderLossRun struct {
	*partitionCluster
	lost       *partitionMember
	confirmed  int64 // from the first attempt of an update to its confirmation; 0: never
	newLeader  int64 // from the loss until another member leads
	lostAt     int64
	updateFrom int64
}

// runLeaderLoss loses the leader, and within the next half second makes an update at the others, which is retried with a
// growing pause after a rejection, and after a second without a response. It returns nil if there was no leader to lose.
func runLeaderLoss(seed uint64, loss leaderLoss) *leaderLossRun {
	r := &leaderLossRun{partitionCluster: newPartitionCluster(seed, 3, 0, 0, noSafeguard)}
	r.calm = true
	r.RunFor(1500)
	r.operatorsStopped = true
	r.RunFor(1500 + r.Between(0, 400))
	for _, m := range r.members {
		if m.server.leading {
			r.lost = m
		}
	}
	if r.lost == nil {
		return nil
	}
	r.lostAt = r.Now
	r.lose(loss)
	r.watch()
	r.After(r.Between(0, 500), r.update)
	r.RunFor(8000)
	return r
}

func (r *leaderLossRun) lose(loss leaderLoss) {
	switch loss {
	case killed, poweredOff:
		r.lost.crash(loss == poweredOff)
		return
	case suspended:
		r.lost.freeze(20000)
		return
	}
	for _, other := range r.members {
		if other == r.lost {
			continue
		}
		if loss != cannotListen {
			r.lost.blocked[other.ip] = dropFrames
		}
		if loss != cannotSend {
			other.blocked[r.lost.ip] = dropFrames
		}
	}
}

// watch notes when another member leads.
func (r *leaderLossRun) watch() {
	for _, m := range r.members {
		if m != r.lost && m.server.leading {
			r.newLeader = r.Now - r.lostAt
			return
		}
	}
	r.After(5, r.watch)
}

func (r *leaderLossRun) update() {
	base := int64(0)
	for _, m := range r.members {
		if m != r.lost {
			base = max(base, m.server.state.Generation)
		}
	}
	r.updateFrom = r.Now
	r.attempt(base, fmt.Appendf(nil, `{"Generation":%d,"Routes":[{"Name":"x","Host":"h","PathPrefix":"/","Kind":"leader","DeadlineMs":500,"TargetMs":100,"Priority":1,"Service":"db","MaxTries":1}],"Services":[{"Name":"db","MaxConns":5}]}`, base+1000), 0)
}

func (r *leaderLossRun) attempt(base int64, body []byte, number int) {
	m := r.members[r.Rand.IntN(3)]
	for m == r.lost {
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
		if r.confirmed == 0 {
			r.confirmed = r.Now - r.updateFrom
		}
	})
	r.After(1000, retry)
}

// An update that is made when the leader is lost is confirmed soon by the majority.
func TestUpdatesContinueAfterLeaderLoss(t *testing.T) {
	t.Parallel()
	for _, loss := range []leaderLoss{killed, poweredOff, suspended, partitioned, cannotSend, cannotListen} {
		var confirmed, newLeader []int64
		for seed := range uint64(60) {
			r := runLeaderLoss(seed, loss)
			if r == nil {
				continue
			}
			require.Positive(t, r.confirmed, "%s, seed %d: never confirmed", loss, seed)
			confirmed, newLeader = append(confirmed, r.confirmed), append(newLeader, r.newLeader)
		}
		slices.Sort(confirmed)
		slices.Sort(newLeader)
		bound := int64(1200)
		if loss == cannotListen { // it must first find out that it has lost its lease
			bound = 2000
		}
		count := len(confirmed)
		require.Less(t, confirmed[count-1], bound, loss)
		require.Less(t, confirmed[count/2], bound*3/4, loss)
		t.Logf("%s: confirmed after %d ms, at most %d; another leads after %d, at most %d (%d losses)",
			loss, confirmed[count/2], confirmed[count-1], newLeader[count/2], newLeader[count-1], count)
	}
}
