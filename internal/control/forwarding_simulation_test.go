package control

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/config"
	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/simulation/memberdisk"
	"ferrypitch/internal/simulation/memberprocess"
	"ferrypitch/internal/simulation/scheduler"
	"ferrypitch/internal/statemachine"
)

// forwardingCluster simulates three members that restart, on a network that loses, delays and duplicates forwarded calls, and
// callers that know the correct response to each of their calls.
type forwardingCluster struct {
	*scheduler.Scheduler
	members   []*forwardingMember
	lastToken int
	logged    map[string]map[[2]uint64]bool // term and index of log entries, by token
	responses map[string]int                // by kind and status

	reuseIncarnation bool // removes the safeguard that each process start has its own incarnation
}

type forwardingMember struct {
	memberprocess.Process

	cluster  *forwardingCluster
	ip       string
	server   *Server
	identity storage.Identity
	disk     memberdisk.Disk
}

func newForwardingCluster(seed uint64) *forwardingCluster {
	c := &forwardingCluster{Scheduler: scheduler.New(seed, 1<<40, unitsPerMs), logged: map[string]map[[2]uint64]bool{}, responses: map[string]int{}}
	ids := []consensus.ID{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	for _, id := range ids {
		c.members = append(c.members, &forwardingMember{cluster: c, ip: string(id), identity: storage.Identity{ID: id, Founders: ids}})
	}
	for _, m := range c.members {
		m.start()
	}
	for i := range 4 {
		c.After(int64(1000+i*17)*unitsPerMs, c.call)
	}
	c.After(1500*unitsPerMs, c.injectCrash)
	return c
}

func (m *forwardingMember) start() {
	c := m.cluster
	m.StartIncarnation()
	incarnation := uint64(m.Incarnation())
	if c.reuseIncarnation {
		incarnation = 1
	}
	clock := eventloop.NewMonotonicClock(func() time.Time { return time.Unix(1e9, c.Now*int64(time.Millisecond)/unitsPerMs) })
	server, err := New(settingsAt(m.ip), hclog.NewNullLogger(), clock, m.identity, m.disk.Restart(), c.Rand.Float64, incarnation)
	if err != nil {
		panic(err)
	}
	m.server = server
	server.SetEnvironment(Environment{Send: m.send, Persist: func(writes []consensus.Write) { m.persist(m.Incarnation(), writes) }})
	m.tick(m.Incarnation())
}

func (m *forwardingMember) tick(incarnation int) {
	if m.IsIncarnation(incarnation) {
		m.server.Tick()
		m.cluster.After(50*unitsPerMs, func() { m.tick(incarnation) })
	}
}

func (m *forwardingMember) persist(incarnation int, writes []consensus.Write) {
	c := m.cluster
	m.disk.Write(writes)
	for _, write := range writes {
		for i, e := range write.Entries {
			change, _ := statemachine.DecodeChange(e.Data)
			token := ""
			if change.AddHost != nil {
				token = change.AddHost.ID
			} else if change.UpdateConfig != nil {
				token = string(change.UpdateConfig.RequestDigest[:])
			}
			if c.logged[token] == nil {
				c.logged[token] = map[[2]uint64]bool{}
			}
			c.logged[token][[2]uint64{e.Term, write.FirstIndex + uint64(i)}] = true
		}
	}
	c.After(c.Between(unitsPerMs/2, 8*unitsPerMs), func() {
		if m.IsIncarnation(incarnation) {
			if sequence := m.disk.SyncAll(); sequence > 0 {
				m.server.Persisted(sequence)
			}
		}
	})
}

// send delivers a frame to the process that runs at an address when it arrives. A forwarded call or its response may be lost,
// delayed by seconds, or delivered twice, as when a connection fails after it was written.
func (m *forwardingMember) send(ip string, frame *rpc.Frame) {
	c := m.cluster
	deliverAfter := func(after int64) {
		c.After(after, func() {
			for _, to := range c.members {
				if to.ip == ip && to.Up() {
					to.server.HandleFrame(m.ip, frame)
				}
			}
		})
	}
	latency := c.Between(unitsPerMs/2, 3*unitsPerMs)
	if frame.Consensus != nil {
		deliverAfter(latency)
		return
	}
	switch c.Rand.IntN(12) {
	case 0: // the connection is reset before the frame is completely written
	case 1: // the network delivers the frame after a long delay
		deliverAfter(c.Between(100*unitsPerMs, 6000*unitsPerMs))
	case 2: // the frame arrives on two connections
		deliverAfter(latency)
		deliverAfter(c.Between(unitsPerMs, 3000*unitsPerMs))
	default:
		deliverAfter(latency)
	}
}

// injectCrash crashes a member, which restarts with its disk after 20 to 600 ms. It mostly selects a follower, so that the term
// stays the same.
func (c *forwardingCluster) injectCrash() {
	m := c.members[c.Rand.IntN(3)]
	if m.Up() && !c.members[0].down() && !c.members[1].down() && !c.members[2].down() && (c.OneIn(4) || !m.server.leading) {
		m.End()
		c.After(c.Between(20*unitsPerMs, 600*unitsPerMs), m.start)
	}
	c.After(c.Between(300*unitsPerMs, 1500*unitsPerMs), c.injectCrash)
}

func (m *forwardingMember) down() bool { return !m.Up() }

// testCall is a call with exactly one correct response. Its token appears in the response if the call is invalid, and in the log
// if it is valid.
type testCall struct {
	apiCall
	kind  callKind
	token string
}

type callKind string

const (
	validUpdate      callKind = "valid update"
	invalidUpdate    callKind = "invalid update"
	validHeartbeat   callKind = "valid heartbeat"
	invalidHeartbeat callKind = "invalid heartbeat"
)

// call makes a random call to a random member and checks the response.
func (c *forwardingCluster) call() {
	c.After(c.Between(10*unitsPerMs, 80*unitsPerMs), c.call)
	m := c.members[c.Rand.IntN(3)]
	if !m.Up() {
		return
	}
	call := c.randomCall(m.server.state.Generation)
	responses := 0
	m.server.HandleCall(call.method, call.path, call.baseVersion, call.body, func(status int, body []byte) {
		if responses++; responses > 1 {
			c.RecordViolation("%s gets two responses", call.token)
		}
		c.responses[fmt.Sprint(call.kind, " ", status)]++
		c.checkResponse(call, status, string(body))
	})
}

func (c *forwardingCluster) randomCall(generation int64) *testCall {
	c.lastToken++
	call := &testCall{token: fmt.Sprintf("t%d", c.lastToken)}
	call.method, call.path, call.baseVersion = http.MethodPost, configReplace.path, "0"
	switch c.Rand.IntN(4) {
	case 0:
		call.kind, call.baseVersion = invalidUpdate, "q"+call.token
	case 1:
		call.kind, call.baseVersion = validUpdate, fmt.Sprint(generation)
		call.body = fmt.Appendf(nil, `{"Generation":%d,"Routes":[],"Services":[]}`, c.lastToken)
		digest := (&statemachine.State{}).MakeDelta(&statemachine.ConfigUpdate{Body: call.body}, &config.Config{}).RequestDigest
		call.token = string(digest[:]) // identifies the update in the log
	case 2:
		call.kind, call.path = validHeartbeat, hostHeartbeat.path+call.token
		call.body = fmt.Appendf(nil, `{"Service":"db","Address":"10.1.%d.%d:80","State":"serving","CallSeq":1}`, c.lastToken/200, c.lastToken%200)
	case 3:
		call.kind, call.path = invalidHeartbeat, hostHeartbeat.path+call.token
		call.body = fmt.Appendf(nil, `{"Service":"db","Address":"%s"}`, call.token)
	}
	return call
}

func (c *forwardingCluster) checkResponse(call *testCall, status int, body string) {
	switch {
	case status == http.StatusServiceUnavailable:
	case call.kind == invalidUpdate || call.kind == invalidHeartbeat:
		if status != http.StatusBadRequest || !strings.Contains(body, call.token+`\"`) {
			c.RecordViolation("WRONG CALLER: %s %s gets %d %s", call.kind, call.token, status, body)
		}
	case status == http.StatusPreconditionFailed && call.kind == validUpdate:
	case status != http.StatusOK || strings.Contains(body, "BeatTarget") != (call.kind == validHeartbeat):
		c.RecordViolation("WRONG CALLER: %s %s gets %d %s", call.kind, call.token, status, body)
	case len(c.logged[call.token]) == 0:
		c.RecordViolation("NOT LOGGED: %s %s is confirmed and is in no log", call.kind, call.token)
	}
}

// runAndCheck runs the cluster for 8 s and asserts that no call was logged twice.
func (c *forwardingCluster) runAndCheck() {
	c.RunFor(8000 * unitsPerMs)
	for token, entries := range c.logged {
		if len(entries) > 1 && token != "" {
			c.RecordViolation("TWICE: %s is in the log %d times", token, len(entries))
		}
	}
}

func TestResponsesReachOnlyTheirCallers(t *testing.T) {
	responses, discarded := map[string]int{}, map[string]int64{}
	seeds := 24
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		c := newForwardingCluster(uint64(seed))
		c.runAndCheck()
		require.Empty(t, c.Violations, "seed %d", seed)
		for name, n := range c.responses {
			responses[name] += n
		}
		for _, m := range c.members {
			for reason, name := range discardCounterNames {
				discarded[name] += m.server.Discarded[reason].Load()
			}
		}
	}
	for _, name := range []string{"invalid update 400", "valid update 200", "valid update 412", "valid heartbeat 200", "invalid heartbeat 400"} {
		require.NotZero(t, responses[name], "%s: %v", name, responses)
	}
	for _, name := range []string{discardCounterNames[requestRepeated], discardCounterNames[responseLate], discardCounterNames[responseOtherIncarnation]} {
		require.NotZero(t, discarded[name], "%s: %v", name, discarded)
	}
	t.Log(responses, discarded)
}

// Without the safeguard of distinct incarnations, the simulation must detect responses that reach the wrong caller.
func TestSimulationDetectsReusedIncarnations(t *testing.T) {
	for seed := range 40 {
		c := newForwardingCluster(uint64(seed))
		c.reuseIncarnation = true
		c.runAndCheck()
		if i := slices.IndexFunc(c.Violations, func(violation string) bool { return strings.Contains(violation, "WRONG CALLER") }); i >= 0 {
			t.Logf("detected by seed %d: %s", seed, c.Violations[i])
			return
		}
	}
	require.Fail(t, "nothing detected in 40 clusters")
}
