package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// sendHeartbeat sends the heartbeat of a host at an address to a member. *status is 0 until there is a response.
func sendHeartbeat(m *partitionMember, hostID, address string, callSeq int64) (status *int) {
	status = new(int)
	body, _ := json.Marshal(HeartbeatRequest{Service: "db", Address: address, State: hostServing, CallSeq: callSeq})
	m.server.HandleCall(http.MethodPost, "/Instances.Heartbeat/"+hostID, "", body, func(got int, _ []byte) { *status = got })
	return status
}

// A first heartbeat for the address of a known host is accepted only if that host is gone: the heartbeat may be delayed until its
// sender has ended and the known host uses the address.
func TestFirstHeartbeatForAnAddressInUseIsChecked(t *testing.T) {
	for name, test := range map[string]struct {
		finish     func(result *failover.QueryResult)
		wantStatus int
		wantHost   string
	}{
		"the known host answers":          {func(r *failover.QueryResult) { r.Status = wire.HostStatus{Timeline: 1} }, http.StatusOK, "known"},
		"the known host is busy":          {func(r *failover.QueryResult) { r.Code = wire.CodeRetry }, http.StatusOK, "known"},
		"another host is at the address":  {func(r *failover.QueryResult) { r.Replaced = true }, http.StatusOK, "new"},
		"nothing is at the address":       {func(r *failover.QueryResult) { r.ConnectionRefused = true }, http.StatusOK, "new"},
		"the address gives no answer":     {func(r *failover.QueryResult) { r.TimedOut = true }, http.StatusServiceUnavailable, "known"},
		"leadership ends in the meantime": {nil, http.StatusServiceUnavailable, "known"},
	} {
		t.Run(name, func(t *testing.T) {
			c, leader, _ := newHealthyPartitionCluster(t)
			var queries []failover.HostQuery
			leader.server.environment.QueryHost = func(query failover.HostQuery, _ statemachine.Host) { queries = append(queries, query) }
			known := sendHeartbeat(leader, "known", "10.9.0.1:1", 9)
			c.RunFor(100)
			require.Equal(t, http.StatusOK, *known)
			queries = nil
			status := sendHeartbeat(leader, "new", "10.9.0.1:1", 1)
			require.Len(t, queries, 1)
			require.Equal(t, "known", queries[0].Host)
			require.Zero(t, *status)
			if test.finish == nil {
				leader.server.loseLeadership()
			} else {
				result := failover.QueryResult{Query: queries[0]}
				test.finish(&result)
				leader.server.QueryFinished(result)
				leader.server.QueryFinished(result) // the duplicate is unsolicited
			}
			c.RunFor(100)
			require.Equal(t, test.wantStatus, *status)
			require.Contains(t, leader.server.state.Hosts, test.wantHost, fmt.Sprint(leader.server.state.Hosts))
			require.Len(t, leader.server.state.Hosts, 1)
		})
	}
}
