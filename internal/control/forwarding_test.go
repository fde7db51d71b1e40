package control

import (
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/simulation/scheduler"
)

// isolatedMember is a single member without a network. The frames that it sends are recorded.
type isolatedMember struct {
	server   *Server
	now      time.Time
	sent     []*rpc.Frame
	to       []string
	unsynced []uint64
}

func newIsolatedMember(founders ...consensus.ID) *isolatedMember {
	m := &isolatedMember{now: time.Unix(1e9, 0)}
	server, err := New(settingsAt(founders[0].Address()), hclog.NewNullLogger(), eventloop.NewMonotonicClock(func() time.Time { return m.now }),
		storage.Identity{ID: founders[0], Founders: founders}, consensus.RestoredState{}, func() float64 { return 0.5 }, 77)
	if err != nil {
		panic(err)
	}
	m.server = server
	server.SetEnvironment(Environment{Send: func(ip string, frame *rpc.Frame) {
		if frame.Consensus == nil {
			m.sent, m.to = append(m.sent, frame), append(m.to, ip)
		}
	}, Persist: func(writes []consensus.Write) { m.unsynced = append(m.unsynced, writes[len(writes)-1].Seq) }})
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

// follow makes the member accept a leader by delivering a heartbeat from it.
func (m *isolatedMember) follow(leader consensus.ID, term uint64) {
	m.server.HandleFrame(leader.Address(), &rpc.Frame{Consensus: &consensus.Message{Type: consensus.MsgHeartbeat, From: leader, To: m.server.id, Term: term, SentAtMs: 1}})
}

// A response is accepted once, for exactly one pending call, and only from the member that the call was forwarded to.
func TestForwardResponseMatchesOnePendingCall(t *testing.T) {
	for name, test := range map[string]struct {
		change func(response *rpc.ForwardResponse, from *string)
		reason discardReason
	}{
		"to a call that was never made":      {func(response *rpc.ForwardResponse, _ *string) { response.Serial += 5 }, responseUnknownCall},
		"without a serial":                   {func(response *rpc.ForwardResponse, _ *string) { response.Serial = 0 }, responseUnknownCall},
		"of another incarnation":             {func(response *rpc.ForwardResponse, _ *string) { response.Incarnation++ }, responseOtherIncarnation},
		"to another member's call":           {func(response *rpc.ForwardResponse, _ *string) { response.From = "10.0.0.3" }, responseOtherIncarnation},
		"to a former member at this address": {func(response *rpc.ForwardResponse, _ *string) { response.From = "10.0.0.1+ab" }, responseOtherIncarnation},
		"from another member":                {func(response *rpc.ForwardResponse, from *string) { response.By, *from = "10.0.0.3", "10.0.0.3" }, responseOtherMember},
		"from the address of another":        {func(_ *rpc.ForwardResponse, from *string) { *from = "10.0.0.3" }, responseOtherMember},
		"from another member at its address": {func(response *rpc.ForwardResponse, _ *string) { response.By = "10.0.0.2+ab" }, responseOtherMember},
		"of another term":                    {func(response *rpc.ForwardResponse, _ *string) { response.Term++ }, responseOtherMember},
		"without a status":                   {func(response *rpc.ForwardResponse, _ *string) { response.Status = 0 }, responseMalformed},
		"with an invalid status":             {func(response *rpc.ForwardResponse, _ *string) { response.Status = 1 << 30 }, responseMalformed},
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
			require.EqualValues(t, 1, m.server.counters()[discardCounterNames[test.reason]])
			m.server.HandleFrame("10.0.0.2", &rpc.Frame{ForwardResponse: &good})
			require.Equal(t, 1, responses, "the valid response is passed to the caller")
			m.server.HandleFrame("10.0.0.2", &rpc.Frame{ForwardResponse: &good})
			require.Equal(t, 1, responses, "passed to the caller twice")
			require.EqualValues(t, 1, m.server.counters()[discardCounterNames[responseLate]])
		})
	}
}

// A forwarded call is processed once, and only if a member or seed sent it to this member in the current term.
func TestForwardRequestIsProcessedOnceForPermittedSenders(t *testing.T) {
	body := []byte(`{"Service":"db","Address":"10.1.0.1:80","State":"serving","CallSeq":1}`)
	for name, test := range map[string]struct {
		change  func(request *rpc.ForwardRequest, from *string)
		reason  discardReason
		rejects bool // the sender gets a response
	}{
		"an unknown process":                 {func(request *rpc.ForwardRequest, from *string) { request.From, *from = "10.9.9.9", "10.9.9.9" }, requestUnknownSender, false},
		"from another address":               {func(_ *rpc.ForwardRequest, from *string) { *from = "10.9.9.9" }, requestUnknownSender, false},
		"without a sender":                   {func(request *rpc.ForwardRequest, _ *string) { request.From = "" }, requestUnknownSender, false},
		"to a former member at this address": {func(request *rpc.ForwardRequest, _ *string) { request.To = "10.0.0.1+ab" }, requestMisdirected, true},
		"of an older term":                   {func(request *rpc.ForwardRequest, _ *string) { request.Term-- }, requestMisdirected, true},
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
			require.EqualValues(t, 1, m.server.counters()[discardCounterNames[test.reason]])
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

// A consensus message whose source address is not that of its sender is discarded.
func TestConsensusMessageFromAnotherAddressIsDiscarded(t *testing.T) {
	for from, leader := range map[string]consensus.ID{"10.0.0.2": "10.0.0.2", "10.0.0.3": "", "10.9.9.9": ""} {
		m := newIsolatedMember("10.0.0.1", "10.0.0.2", "10.0.0.3")
		m.server.HandleFrame(from, &rpc.Frame{Consensus: &consensus.Message{Type: consensus.MsgHeartbeat, From: "10.0.0.2", To: "10.0.0.1", Term: 4, SentAtMs: 1}})
		require.Equal(t, leader, m.server.consensus.Leader(), "from %s", from)
		require.EqualValues(t, map[bool]int64{true: 1}[leader == ""], m.server.counters()[discardCounterNames[messageWrongSender]])
	}
}

// Pending calls are limited in number and bytes, and so is the number of requesters whose serials are tracked.
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
		require.True(t, m.server.forwarder.received.record(requester{"10.0.0.2", uint64(i)}, 1))
	}
	require.Len(t, m.server.forwarder.received.windows, maxRequesters)
	require.Len(t, m.server.forwarder.received.order, maxRequesters)
}

// Compares the window with a set of serials: each serial is accepted once, in any order, unless it is older than the window.
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
