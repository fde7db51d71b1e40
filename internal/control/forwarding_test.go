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
	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/simulation/scheduler"
)

// forwardingCluster is three members on a network that loses, delays and repeats forwarded calls, while members restart, and
// callers who each know the right response to their own call.
type forwardingCluster struct {
	*scheduler.Scheduler
	members   []*forwardingMember
	lastToken int
	logged    map[string]map[[2]uint64]bool // by token: term and index of its entries
	responses map[string]int                // by kind and status

	reuseIncarnation bool // takes a safeguard out
}

type forwardingMember struct {
	cluster     *forwardingCluster
	ip          string
	server      *Server
	up          bool
	incarnation int
	identity    storage.Identity
	disk        consensus.RestoredState
	unsynced    []consensus.Write
}

func newForwardingCluster(seed uint64) *forwardingCluster {
	c := &forwardingCluster{Scheduler: scheduler.New(seed, 1<<40, unitsPerMs), logged: map[string]map[[2]uint64]bool{}, responses: map[string]int{}}
	ids := []consensus.ID{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	for _, id := range ids {
		c.members = append(c.members, &forwardingMember{cluster: c, ip: string(id), identity: storage.Identity{ID: id, Founders: ids}})
	}
	for _, s := range c.members {
		s.start()
	}
	for i := range 4 {
		c.After(int64(1000+i*17)*unitsPerMs, c.call)
	}
	c.After(1500*unitsPerMs, c.injectCrash)
	return c
}

func (m *forwardingMember) start() {
	c := m.cluster
	m.incarnation++
	m.up, m.unsynced = true, nil
	restored := m.disk
	restored.Entries = slices.Clone(restored.Entries)
	incarnation := uint64(m.incarnation)
	if c.reuseIncarnation {
		incarnation = 1
	}
	clock := eventloop.NewSteadyClock(func() time.Time { return time.Unix(1e9, c.Now*int64(time.Millisecond)/unitsPerMs) })
	server, err := New(settingsAt(m.ip), hclog.NewNullLogger(), clock, m.identity, restored, c.Rand.Float64, incarnation)
	if err != nil {
		panic(err)
	}
	m.server = server
	server.SetEnvironment(Environment{Send: m.send, Persist: func(x []consensus.Write) { m.persist(m.incarnation, x) }})
	m.tick(m.incarnation)
}

func (m *forwardingMember) tick(incarnation int) {
	if m.up && m.incarnation == incarnation {
		m.server.Tick()
		m.cluster.After(50*unitsPerMs, func() { m.tick(incarnation) })
	}
}

func (m *forwardingMember) persist(incarnation int, writes []consensus.Write) {
	c := m.cluster
	m.unsynced = append(m.unsynced, writes...)
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
		if m.up && m.incarnation == incarnation && len(m.unsynced) > 0 {
			for _, write := range m.unsynced {
				m.disk.ApplyWrite(write)
			}
			sequence := m.unsynced[len(m.unsynced)-1].Seq
			m.unsynced = nil
			m.server.Persisted(sequence)
		}
	})
}

// send delivers a frame to whoever is at an address by then. A forwarded call or its response may be lost, delayed for long, or
// delivered twice, as when a connection breaks after it was written.
func (m *forwardingMember) send(ip string, frame *rpc.Frame) {
	c := m.cluster
	deliverAfter := func(after int64) {
		c.After(after, func() {
			for _, to := range c.members {
				if to.ip == ip && to.up {
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
	case 0: // the connection is reset before all of it is written
	case 1: // the network is silent, and delivers it after all
		deliverAfter(c.Between(100*unitsPerMs, 6000*unitsPerMs))
	case 2: // it arrives on two connections
		deliverAfter(latency)
		deliverAfter(c.Between(unitsPerMs, 3000*unitsPerMs))
	default:
		deliverAfter(latency)
	}
}

// injectCrash crashes a member, which restarts with its disk soon after; mostly a follower, so that the term stays the same.
func (c *forwardingCluster) injectCrash() {
	s := c.members[c.Rand.IntN(3)]
	if s.up && !c.members[0].down() && !c.members[1].down() && !c.members[2].down() && (c.OneIn(4) || !s.server.leading) {
		s.up = false
		c.After(c.Between(20*unitsPerMs, 600*unitsPerMs), s.start)
	}
	c.After(c.Between(300*unitsPerMs, 1500*unitsPerMs), c.injectCrash)
}

func (m *forwardingMember) down() bool { return !m.up }

// testCall is a call that only one response is right for. Its token stands in the response to an invalid call, and in the log for
// a valid one.
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

// call makes one call at one member and checks the response.
func (c *forwardingCluster) call() {
	c.After(c.Between(10*unitsPerMs, 80*unitsPerMs), c.call)
	m := c.members[c.Rand.IntN(3)]
	if !m.up {
		return
	}
	call := c.randomCall(m.server.state.Generation)
	responses := 0
	m.server.HandleCall(call.method, call.path, call.baseVersion, call.body, func(status int, body []byte) {
		if responses++; responses > 1 {
			c.Violate("%s gets two responses", call.token)
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
		digest := (&statemachine.State{}).Delta(&statemachine.ConfigUpdate{Body: call.body}, &config.Config{}).RequestDigest
		call.token = string(digest[:]) // how the log identifies it
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
			c.Violate("WRONG CALLER: %s %s gets %d %s", call.kind, call.token, status, body)
		}
	case status == http.StatusPreconditionFailed && call.kind == validUpdate:
	case status != http.StatusOK || strings.Contains(body, "BeatTarget") != (call.kind == validHeartbeat):
		c.Violate("WRONG CALLER: %s %s gets %d %s", call.kind, call.token, status, body)
	case len(c.logged[call.token]) == 0:
		c.Violate("UNEARNED: %s %s is confirmed and is in no log", call.kind, call.token)
	}
}

// runAndCheck runs the cluster for 8 s and asserts that no call is in the log twice.
func (c *forwardingCluster) runAndCheck() {
	c.RunFor(8000 * unitsPerMs)
	for t, at := range c.logged {
		if len(at) > 1 && t != "" {
			c.Violate("TWICE: %s is in the log %d times", t, len(at))
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

// With its safeguard taken out, the simulation detects wrong responses.
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

// isolatedMember is one member by itself. What it sends is recorded.
type isolatedMember struct {
	server   *Server
	now      time.Time
	sent     []*rpc.Frame
	to       []string
	unsynced []uint64
}

func newIsolatedMember(founders ...consensus.ID) *isolatedMember {
	m := &isolatedMember{now: time.Unix(1e9, 0)}
	server, err := New(settingsAt(founders[0].Address()), hclog.NewNullLogger(), eventloop.NewSteadyClock(func() time.Time { return m.now }),
		storage.Identity{ID: founders[0], Founders: founders}, consensus.RestoredState{}, func() float64 { return 0.5 }, 77)
	if err != nil {
		panic(err)
	}
	m.server = server
	server.SetEnvironment(Environment{Send: func(ip string, frame *rpc.Frame) {
		if frame.Consensus == nil {
			m.sent, m.to = append(m.sent, frame), append(m.to, ip)
		}
	}, Persist: func(x []consensus.Write) { m.unsynced = append(m.unsynced, x[len(x)-1].Seq) }})
	return m
}

func (m *isolatedMember) run(span time.Duration) {
	for end := m.now.Add(span); m.now.Before(end); m.now = m.now.Add(50 * time.Millisecond) {
		m.server.Tick()
		for len(m.unsynced) > 0 {
			seq := m.unsynced[0]
			m.unsynced = m.unsynced[1:]
			m.server.Persisted(seq)
		}
	}
}

// follow makes the member follow a leader.
func (m *isolatedMember) follow(leader consensus.ID, term uint64) {
	m.server.HandleFrame(leader.Address(), &rpc.Frame{Consensus: &consensus.Message{Type: consensus.MsgHeartbeat, From: leader, To: m.server.id, Term: term, SentAtMs: 1}})
}

// A response counts once, for exactly one pending call, from exactly the member that the call was forwarded to.
func TestForwardResponseMatchesOnePendingCall(t *testing.T) {
	for name, test := range map[string]struct {
		change func(a *rpc.ForwardResponse, from *string)
		why    discardReason
	}{
		"to a call that was never made":      {func(a *rpc.ForwardResponse, _ *string) { a.Serial += 5 }, responseUnknownCall},
		"without a serial":                   {func(a *rpc.ForwardResponse, _ *string) { a.Serial = 0 }, responseUnknownCall},
		"of another incarnation":             {func(a *rpc.ForwardResponse, _ *string) { a.Incarnation++ }, responseOtherIncarnation},
		"to another member's call":           {func(a *rpc.ForwardResponse, _ *string) { a.From = "10.0.0.3" }, responseOtherIncarnation},
		"to a former member at this address": {func(a *rpc.ForwardResponse, _ *string) { a.From = "10.0.0.1+ab" }, responseOtherIncarnation},
		"from another member":                {func(a *rpc.ForwardResponse, from *string) { a.By, *from = "10.0.0.3", "10.0.0.3" }, responseOtherMember},
		"from the address of another":        {func(_ *rpc.ForwardResponse, from *string) { *from = "10.0.0.3" }, responseOtherMember},
		"from another member at its address": {func(a *rpc.ForwardResponse, _ *string) { a.By = "10.0.0.2+ab" }, responseOtherMember},
		"of another term":                    {func(a *rpc.ForwardResponse, _ *string) { a.Term++ }, responseOtherMember},
		"without a status":                   {func(a *rpc.ForwardResponse, _ *string) { a.Status = 0 }, responseMalformed},
		"with an invalid status":             {func(a *rpc.ForwardResponse, _ *string) { a.Status = 1 << 30 }, responseMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			m := newIsolatedMember("10.0.0.1", "10.0.0.2", "10.0.0.3")
			m.follow("10.0.0.2", 4)
			responses := 0
			m.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(int, []byte) { responses++ })
			require.Len(t, m.sent, 1)
			require.Equal(t, "10.0.0.2", m.to[0])
			good := rpc.ForwardResponse{CallID: m.sent[0].ForwardRequest.CallID, By: "10.0.0.2", Status: 200}
			bad, from := good, "10.0.0.2"
			test.change(&bad, &from)
			m.server.HandleFrame(from, &rpc.Frame{ForwardResponse: &bad})
			require.Zero(t, responses, "it is passed to the caller")
			require.EqualValues(t, 1, m.server.counters()[discardCounterNames[test.why]])
			m.server.HandleFrame("10.0.0.2", &rpc.Frame{ForwardResponse: &good})
			require.Equal(t, 1, responses, "the valid response is passed to the caller")
			m.server.HandleFrame("10.0.0.2", &rpc.Frame{ForwardResponse: &good})
			require.Equal(t, 1, responses, "passed to the caller twice")
			require.EqualValues(t, 1, m.server.counters()[discardCounterNames[responseLate]])
		})
	}
}

// A forwarded call is processed once, if a member or seed sends it to this member in this term.
func TestForwardRequestIsProcessedOnceForPermittedSenders(t *testing.T) {
	body := []byte(`{"Service":"db","Address":"10.1.0.1:80","State":"serving","CallSeq":1}`)
	for name, test := range map[string]struct {
		change  func(a *rpc.ForwardRequest, from *string)
		why     discardReason
		rejects bool // the sender gets a response
	}{
		"an unknown process":                 {func(a *rpc.ForwardRequest, from *string) { a.From, *from = "10.9.9.9", "10.9.9.9" }, requestUnknownSender, false},
		"from another address":               {func(_ *rpc.ForwardRequest, from *string) { *from = "10.9.9.9" }, requestUnknownSender, false},
		"without a sender":                   {func(a *rpc.ForwardRequest, _ *string) { a.From = "" }, requestUnknownSender, false},
		"to a former member at this address": {func(a *rpc.ForwardRequest, _ *string) { a.To = "10.0.0.1+ab" }, requestMisdirected, true},
		"of an older term":                   {func(a *rpc.ForwardRequest, _ *string) { a.Term-- }, requestMisdirected, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newIsolatedMember("10.0.0.1")
			m.run(2 * time.Second)
			require.True(t, m.server.leading)
			good := rpc.ForwardRequest{
				CallID: rpc.CallID{From: "10.0.0.2", Incarnation: 5, Term: m.server.consensus.Term(), Serial: 1}, To: "10.0.0.1",
				Method: http.MethodPost, Path: "/Instances.Heartbeat/h1", Body: body,
			}
			bad, from := good, "10.0.0.2"
			test.change(&bad, &from)
			m.server.HandleFrame(from, &rpc.Frame{ForwardRequest: &bad})
			m.run(200 * time.Millisecond)
			require.Empty(t, m.server.state.Hosts, "it was processed")
			require.EqualValues(t, 1, m.server.counters()[discardCounterNames[test.why]])
			if test.rejects {
				require.Len(t, m.sent, 1)
				require.Equal(t, http.StatusServiceUnavailable, m.sent[0].ForwardResponse.Status)
			} else {
				require.Empty(t, m.sent)
			}
			m.sent = nil
			for range 3 {
				m.server.HandleFrame("10.0.0.2", &rpc.Frame{ForwardRequest: &good})
			}
			m.run(200 * time.Millisecond)
			require.Len(t, m.server.state.Hosts, 1)
			require.EqualValues(t, 1, m.server.Heartbeats.Load())
			require.Len(t, m.sent, 1)
			require.Equal(t, rpc.ForwardResponse{CallID: good.CallID, By: "10.0.0.1", Status: 200, Body: m.sent[0].ForwardResponse.Body}, *m.sent[0].ForwardResponse)
			require.EqualValues(t, 2, m.server.counters()[discardCounterNames[requestRepeated]])
		})
	}
}

// A consensus message is discarded unless it comes from the address of its sender.
func TestConsensusMessageFromAnotherAddressIsDiscarded(t *testing.T) {
	for from, leader := range map[string]consensus.ID{"10.0.0.2": "10.0.0.2", "10.0.0.3": "", "10.9.9.9": ""} {
		m := newIsolatedMember("10.0.0.1", "10.0.0.2", "10.0.0.3")
		m.server.HandleFrame(from, &rpc.Frame{Consensus: &consensus.Message{Type: consensus.MsgHeartbeat, From: "10.0.0.2", To: "10.0.0.1", Term: 4, SentAtMs: 1}})
		require.Equal(t, leader, m.server.consensus.Leader(), "from %s", from)
		require.EqualValues(t, map[bool]int64{true: 1}[leader == ""], m.server.counters()[discardCounterNames[messageWrongSender]])
	}
}

// Pending calls are bounded in number and bytes, and so is what is remembered of requesters.
func TestForwardedCallsAreBounded(t *testing.T) {
	m := newIsolatedMember("10.0.0.1", "10.0.0.2", "10.0.0.3")
	m.follow("10.0.0.2", 4)
	rejected := 0
	for range maxForwarded + 10 {
		m.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(int, []byte) { rejected++ })
	}
	require.Equal(t, 10, rejected)
	require.EqualValues(t, 10, m.server.counters()[discardCounterNames[requestOverLimit]])
	m.run(3 * time.Second)
	require.Empty(t, m.server.forwarder.pending, "removed after their timeouts")
	m.follow("10.0.0.2", 4)
	rejected = 0
	large := make([]byte, configReplace.maxBodyBytes)
	for range maxForwardedBytes/configReplace.maxBodyBytes + 3 {
		m.server.HandleCall(http.MethodPost, "/Config.Replace", "0", large, func(int, []byte) { rejected++ })
	}
	require.Equal(t, 3, rejected)
	m.run(6 * time.Second)
	require.Zero(t, m.server.forwarder.pendingBytes)
	status := 0
	m.server.HandleCall(http.MethodPost, "/Config.Replace", "0", append(large, 0), func(s int, _ []byte) { status = s })
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	for i := range 1000 {
		require.True(t, m.server.forwarder.received.first(requester{"10.0.0.2", uint64(i)}, 1))
	}
	require.Len(t, m.server.forwarder.received.windows, maxRequesters)
	require.Len(t, m.server.forwarder.received.order, maxRequesters)
}

// The window against a set: each serial is accepted once in any order, and none that is older than the window.
func TestSerialWindowAcceptsEachSerialOnce(t *testing.T) {
	for seed := range 200 {
		w := scheduler.New(uint64(seed), 0, 1)
		var window serialWindow
		seen, newest := map[uint64]bool{}, uint64(0)
		for range 500 {
			serial := uint64(max(1, int64(newest)+int64(w.Rand.IntN(150))-100))
			want := !seen[serial] && (newest < 64 || serial > newest-64)
			require.Equal(t, want, window.accept(serial), "seed %d: %d after %d", seed, serial, newest)
			seen[serial], newest = seen[serial] || want, max(newest, serial)
		}
	}
}
