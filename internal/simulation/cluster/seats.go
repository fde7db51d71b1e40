package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"

	"ferrypitch/internal/consensus"
)

// memberReport is what a member says of itself.
type memberReport struct {
	Consensus struct {
		ID, Leader consensus.ID
		Term       uint64
		LastIndex  uint64
		Members    []consensus.ID
		Learners   []consensus.ID
		HoldsLease bool
	}
	LeaderlessForMs int64
	Counters        map[string]int64
}

// wrongSenderCounter is the counter of messages that a member discarded since they did not come from their sender's address. In a
// system of one release each process sends only messages of its own.
const wrongSenderCounter = "discarded_consensus_wrong_sender"

func (m *memberReport) String() string {
	c := m.Consensus
	return fmt.Sprintf("%s: term %d, leader %q, index %d, members %v, learners %v, without a leader for %d ms", c.ID, c.Term, c.Leader,
		c.LastIndex, c.Members, c.Learners, m.LeaderlessForMs)
}

// askMember asks a member for its status. It returns nil if there is no answer.
func askMember(ctx context.Context, address string) *memberReport {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/Member.Status", nil)
	if err != nil {
		return nil
	}
	status, text, err := doRequest(request)
	report := &memberReport{}
	if err != nil || status != http.StatusOK || json.Unmarshal([]byte(text), report) != nil {
		return nil
	}
	return report
}

// runsAt reports whether the member is the process at an address.
func (m *memberReport) runsAt(address string) bool {
	ip, _, err := net.SplitHostPort(address)
	return err == nil && ip == m.Consensus.ID.Address()
}

// findLeader returns the report of the member that leads, or nil.
func findLeader(ctx context.Context, addresses []string) *memberReport {
	for _, address := range addresses {
		if report := askMember(ctx, address); report != nil && report.Consensus.HoldsLease {
			return report
		}
	}
	return nil
}

// unfilledSeats returns the processes that the leader does not replicate to, and the members that are not running processes.
// There are seats for twice the budget and one more.
func unfilledSeats(ctx context.Context, addresses []string, budget int) (problems []string) {
	leader := findLeader(ctx, addresses)
	if leader == nil {
		return []string{"no leader"}
	}
	seated := 0
	for _, address := range addresses {
		process := askMember(ctx, address)
		switch {
		case process != nil && slices.Contains(leader.Consensus.Members, process.Consensus.ID):
			seated++
		case process == nil || !slices.Contains(leader.Consensus.Learners, process.Consensus.ID):
			problems = append(problems, address+" is not known to the leader")
		}
	}
	if seats := 2*budget + 1; seated != seats || len(leader.Consensus.Members) != seats {
		problems = append(problems, fmt.Sprintf("%d of the members %v run", seated, leader.Consensus.Members))
	}
	return problems
}
