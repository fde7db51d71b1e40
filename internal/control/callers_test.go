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
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/scheduler"
)

const ms = 10

// A ring is three members on a network that loses, holds back and repeats what they pass on, while they end and begin
// anew, and callers who each know the answer to their own question.
type ring struct {
	*scheduler.Scheduler
	seats  []*seat
	token  int
	logged map[string]map[[2]uint64]bool // by token: where it stands in the log
	told   map[string]int                // answers, by kind

	sameLife bool // a defence taken out
}

type seat struct {
	w     *ring
	ip    string
	f     *Server
	up    bool
	life  int
	id    storage.Identity
	disk  consensus.RestoredState
	queue []consensus.Write
}

func newRing(seed uint64) *ring {
	w := &ring{Scheduler: scheduler.New(seed, 1<<40, ms), logged: map[string]map[[2]uint64]bool{}, told: map[string]int{}}
	ids := []consensus.ID{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	for _, id := range ids {
		w.seats = append(w.seats, &seat{w: w, ip: string(id), id: storage.Identity{ID: id, Founders: ids}})
	}
	for _, s := range w.seats {
		s.begin()
	}
	for i := range 4 {
		w.After(int64(1000+i*17)*ms, w.ask)
	}
	w.After(1500*ms, w.strike)
	return w
}

func plateAt(ip string) *settings.Settings {
	p := &settings.Settings{Node: "n" + ip, Ip: ip, Zone: "z", BeatMs: 1200, SeedPeers: []string{"10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"}}
	p.FaultBudget.Machines = 1
	p.Listen.Control = ip + ":8080"
	return p
}

func (s *seat) begin() {
	w := s.w
	s.life++
	s.up, s.queue = true, nil
	kept := s.disk
	kept.Entries = slices.Clone(kept.Entries)
	life := uint64(s.life)
	if w.sameLife {
		life = 1
	}
	clock := eventloop.NewSteadyClock(func() time.Time { return time.Unix(1e9, w.Now*int64(time.Millisecond)/ms) })
	f, err := New(plateAt(s.ip), hclog.NewNullLogger(), clock, s.id, kept, w.Rand.Float64, life)
	if err != nil {
		panic(err)
	}
	s.f = f
	f.SetEnvironment(Environment{Send: s.send, Persist: func(x []consensus.Write) { s.store(s.life, x) }})
	s.tick(s.life)
}

func (s *seat) tick(life int) {
	if s.up && s.life == life {
		s.f.Tick()
		s.w.After(50*ms, func() { s.tick(life) })
	}
}

func (s *seat) store(life int, x []consensus.Write) {
	w := s.w
	s.queue = append(s.queue, x...)
	for _, write := range x {
		for i, e := range write.Entries {
			c, _ := statemachine.DecodeChange(e.Data)
			token := ""
			if c.AddHost != nil {
				token = c.AddHost.ID
			} else if c.UpdateConfig != nil {
				token = string(c.UpdateConfig.RequestDigest[:])
			}
			if w.logged[token] == nil {
				w.logged[token] = map[[2]uint64]bool{}
			}
			w.logged[token][[2]uint64{e.Term, write.FirstIndex + uint64(i)}] = true
		}
	}
	w.After(w.Between(ms/2, 8*ms), func() {
		if s.up && s.life == life && len(s.queue) > 0 {
			for _, write := range s.queue {
				s.disk.ApplyWrite(write)
			}
			seq := s.queue[len(s.queue)-1].Seq
			s.queue = nil
			s.f.Persisted(seq)
		}
	})
}

// send brings a frame to whoever is at an address by then. Before it is written it may be lost with its connection, after
// that its connection may break, so that it comes again by another, and it may be held back for long.
func (s *seat) send(ip string, frame *rpc.Frame) {
	w := s.w
	arrive := func(after int64) {
		w.After(after, func() {
			for _, to := range w.seats {
				if to.ip == ip && to.up {
					to.f.HandleFrame(s.ip, frame)
				}
			}
		})
	}
	soon := w.Between(ms/2, 3*ms)
	if frame.Consensus != nil {
		arrive(soon)
		return
	}
	switch w.Rand.IntN(12) {
	case 0: // reset before it was written, or in the middle
	case 1: // silence, and it comes all the same
		arrive(w.Between(100*ms, 6000*ms))
	case 2: // it comes by both connections
		arrive(soon)
		arrive(w.Between(ms, 3000*ms))
	default:
		arrive(soon)
	}
}

// strike ends a member, which begins anew with its disk soon after; often one that only follows, in the same view.
func (w *ring) strike() {
	s := w.seats[w.Rand.IntN(3)]
	if s.up && !w.seats[0].down() && !w.seats[1].down() && !w.seats[2].down() && (w.OneIn(4) || !s.f.leading) {
		s.up = false
		w.After(w.Between(20*ms, 600*ms), s.begin)
	}
	w.After(w.Between(300*ms, 1500*ms), w.strike)
}

func (s *seat) down() bool { return !s.up }

// ask makes one call at one member, and looks at what comes.
func (w *ring) ask() {
	w.After(w.Between(10*ms, 80*ms), w.ask)
	s := w.seats[w.Rand.IntN(3)]
	if !s.up {
		return
	}
	w.token++
	t := fmt.Sprintf("t%d", w.token)
	kind, method, path, base, body := "", http.MethodPost, "/Config.Replace", "0", ""
	switch w.Rand.IntN(4) {
	case 0:
		kind, base = "odd order", "q"+t
	case 1:
		kind, body = "order", fmt.Sprintf(`{"Generation":%d,"Routes":[],"Services":[]}`, w.token)
		base = fmt.Sprint(s.f.state.Generation)
		sent := (&statemachine.State{}).Delta(&statemachine.ConfigUpdate{Body: []byte(body)}, &config.Config{}).RequestDigest // how the log knows it
		t = string(sent[:])
	case 2:
		kind, path = "beat", "/Instances.Heartbeat/"+t
		body = fmt.Sprintf(`{"Service":"db","Address":"10.1.%d.%d:80","State":"serving","CallSeq":1}`, w.token/200, w.token%200)
	case 3:
		kind, path, body = "odd beat", "/Instances.Heartbeat/"+t, `{"Service":"db","Address":"`+t+`"}`
	}
	n := 0
	s.f.HandleCall(method, path, base, []byte(body), func(status int, b []byte) {
		if n++; n > 1 {
			w.Violate("%s is answered twice", t)
		}
		w.told[fmt.Sprint(kind, " ", status)]++
		switch got := string(b); {
		case status == http.StatusServiceUnavailable:
		case strings.HasPrefix(kind, "odd"):
			if status != http.StatusBadRequest || !strings.Contains(got, t+`\"`) {
				w.Violate("WRONG CALLER: %s %s is told %d %s", kind, t, status, got)
			}
		case status == http.StatusPreconditionFailed && kind == "order":
		case status != http.StatusOK || strings.Contains(got, "BeatTarget") != (kind == "beat"):
			w.Violate("WRONG CALLER: %s %s is told %d %s", kind, t, status, got)
		case len(w.logged[t]) == 0:
			w.Violate("UNEARNED: %s %s is confirmed and stands in no log", kind, t)
		}
	})
}

// play goes on for a while, and looks at what was carried out.
func (w *ring) play() {
	w.RunFor(8000 * ms)
	for t, at := range w.logged {
		if len(at) > 1 && t != "" {
			w.Violate("TWICE: %s stands in the log %d times", t, len(at))
		}
	}
}

func TestNoCallerGetsAnAnswerToAnothersQuestion(t *testing.T) {
	told, strays := map[string]int{}, map[string]int64{}
	seeds := 24
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		w := newRing(uint64(seed))
		w.play()
		require.Empty(t, w.Violations, "seed %d", seed)
		for k, n := range w.told {
			told[k] += n
		}
		for _, s := range w.seats {
			for why, name := range discardCounterNames {
				strays[name] += s.f.Discarded[why].Load()
			}
		}
	}
	for _, k := range []string{"odd order 400", "order 200", "order 412", "beat 200", "odd beat 400"} {
		require.NotZero(t, told[k], "%s: %v", k, told)
	}
	for _, k := range []string{discardCounterNames[requestRepeated], discardCounterNames[responseLate], discardCounterNames[responseOtherIncarnation]} {
		require.NotZero(t, strays[k], "%s: %v", k, strays)
	}
	t.Log(told, strays)
}

// Each defence, taken out, is caught.
func TestTheRingCatchesLivesThatLookAlike(t *testing.T) {
	for seed := range 40 {
		w := newRing(uint64(seed))
		w.sameLife = true
		w.play()
		if i := slices.IndexFunc(w.Violations, func(b string) bool { return strings.Contains(b, "WRONG CALLER") }); i >= 0 {
			t.Logf("caught by seed %d: %s", seed, w.Violations[i])
			return
		}
	}
	require.Fail(t, "40 rings saw nothing")
}

// desk is one member by itself, with all that it sends.
type desk struct {
	f     *Server
	now   time.Time
	sent  []*rpc.Frame
	to    []string
	ready []uint64
}

func newDesk(id consensus.ID, founders ...consensus.ID) *desk {
	d := &desk{now: time.Unix(1e9, 0)}
	f, err := New(plateAt(id.Address()), hclog.NewNullLogger(), eventloop.NewSteadyClock(func() time.Time { return d.now }),
		storage.Identity{ID: id, Founders: founders}, consensus.RestoredState{}, func() float64 { return 0.5 }, 77)
	if err != nil {
		panic(err)
	}
	d.f = f
	f.SetEnvironment(Environment{Send: func(ip string, frame *rpc.Frame) {
		if frame.Consensus == nil {
			d.sent, d.to = append(d.sent, frame), append(d.to, ip)
		}
	}, Persist: func(x []consensus.Write) { d.ready = append(d.ready, x[len(x)-1].Seq) }})
	return d
}

func (d *desk) run(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); d.now = d.now.Add(50 * time.Millisecond) {
		d.f.Tick()
		for len(d.ready) > 0 {
			seq := d.ready[0]
			d.ready = d.ready[1:]
			d.f.Persisted(seq)
		}
	}
}

// follows has a member follow one that leads.
func (d *desk) follows(leader consensus.ID, view uint64) {
	d.f.HandleFrame(leader.Address(), &rpc.Frame{Consensus: &consensus.Message{Type: consensus.MsgHeartbeat, From: leader, To: d.f.id, Term: view, SentAtMs: 1}})
}

// An answer counts for exactly the call that is out, from exactly the member that was asked, once.
func TestAnAnswerCountsOnlyForTheCallThatIsOut(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a *rpc.ForwardResponse, from *string)
		why    discardReason
	}{
		"to a call that was never made":       {func(a *rpc.ForwardResponse, _ *string) { a.Serial += 5 }, responseUnknownCall},
		"to none":                             {func(a *rpc.ForwardResponse, _ *string) { a.Serial = 0 }, responseUnknownCall},
		"of another life":                     {func(a *rpc.ForwardResponse, _ *string) { a.Incarnation++ }, responseOtherIncarnation},
		"to another member's call":            {func(a *rpc.ForwardResponse, _ *string) { a.From = "10.0.0.3" }, responseOtherIncarnation},
		"to the old member at this address":   {func(a *rpc.ForwardResponse, _ *string) { a.From = "10.0.0.1+ab" }, responseOtherIncarnation},
		"from another member":                 {func(a *rpc.ForwardResponse, from *string) { a.By, *from = "10.0.0.3", "10.0.0.3" }, responseOtherMember},
		"from the address of another":         {func(_ *rpc.ForwardResponse, from *string) { *from = "10.0.0.3" }, responseOtherMember},
		"from an empty one at its address":    {func(a *rpc.ForwardResponse, _ *string) { a.By = "10.0.0.2+ab" }, responseOtherMember},
		"of another view":                     {func(a *rpc.ForwardResponse, _ *string) { a.Term++ }, responseOtherMember},
		"without a status":                    {func(a *rpc.ForwardResponse, _ *string) { a.Status = 0 }, responseMalformed},
		"with a status beyond all that there": {func(a *rpc.ForwardResponse, _ *string) { a.Status = 1 << 30 }, responseMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk("10.0.0.1", "10.0.0.1", "10.0.0.2", "10.0.0.3")
			d.follows("10.0.0.2", 4)
			n := 0
			d.f.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(int, []byte) { n++ })
			require.Len(t, d.sent, 1)
			require.Equal(t, "10.0.0.2", d.to[0])
			good := rpc.ForwardResponse{CallID: d.sent[0].ForwardRequest.CallID, By: "10.0.0.2", Status: 200}
			bad, from := good, "10.0.0.2"
			c.change(&bad, &from)
			d.f.HandleFrame(from, &rpc.Frame{ForwardResponse: &bad})
			require.Zero(t, n, "it counted")
			require.EqualValues(t, 1, d.f.counters()[discardCounterNames[c.why]])
			d.f.HandleFrame("10.0.0.2", &rpc.Frame{ForwardResponse: &good})
			require.Equal(t, 1, n, "the right one counts still")
			d.f.HandleFrame("10.0.0.2", &rpc.Frame{ForwardResponse: &good})
			require.Equal(t, 1, n, "once")
			require.EqualValues(t, 1, d.f.counters()[discardCounterNames[responseLate]])
		})
	}
}

// A call is carried out for members, asked of this one in this view, once.
func TestACallIsCarriedOutOnceForThoseWhoMayAsk(t *testing.T) {
	body := []byte(`{"Service":"db","Address":"10.1.0.1:80","State":"serving","CallSeq":1}`)
	for name, c := range map[string]struct {
		change func(a *rpc.ForwardRequest, from *string)
		why    discardReason
		told   bool // that it was not carried out
	}{
		"an unknown process":            {func(a *rpc.ForwardRequest, from *string) { a.From, *from = "10.9.9.9", "10.9.9.9" }, requestUnknownSender, false},
		"one that is not where it says": {func(_ *rpc.ForwardRequest, from *string) { *from = "10.9.9.9" }, requestUnknownSender, false},
		"one that gives no name":        {func(a *rpc.ForwardRequest, _ *string) { a.From = "" }, requestUnknownSender, false},
		"meant for the old member":      {func(a *rpc.ForwardRequest, _ *string) { a.To = "10.0.0.1+ab" }, requestMisdirected, true},
		"of an older view":              {func(a *rpc.ForwardRequest, _ *string) { a.Term-- }, requestMisdirected, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk("10.0.0.1", "10.0.0.1")
			d.run(2 * time.Second)
			require.True(t, d.f.leading)
			good := rpc.ForwardRequest{
				CallID: rpc.CallID{From: "10.0.0.2", Incarnation: 5, Term: d.f.consensus.Term(), Serial: 1}, To: "10.0.0.1",
				Method: http.MethodPost, Path: "/Instances.Heartbeat/h1", Body: body,
			}
			bad, from := good, "10.0.0.2"
			c.change(&bad, &from)
			d.f.HandleFrame(from, &rpc.Frame{ForwardRequest: &bad})
			d.run(200 * time.Millisecond)
			require.Empty(t, d.f.state.Hosts, "it was carried out")
			require.EqualValues(t, 1, d.f.counters()[discardCounterNames[c.why]])
			if c.told {
				require.Len(t, d.sent, 1)
				require.Equal(t, http.StatusServiceUnavailable, d.sent[0].ForwardResponse.Status)
			} else {
				require.Empty(t, d.sent)
			}
			d.sent = nil
			for range 3 {
				d.f.HandleFrame("10.0.0.2", &rpc.Frame{ForwardRequest: &good})
			}
			d.run(200 * time.Millisecond)
			require.Len(t, d.f.state.Hosts, 1)
			require.EqualValues(t, 1, d.f.Heartbeats.Load())
			require.Len(t, d.sent, 1)
			require.Equal(t, rpc.ForwardResponse{CallID: good.CallID, By: "10.0.0.1", Status: 200, Body: d.sent[0].ForwardResponse.Body}, *d.sent[0].ForwardResponse)
			require.EqualValues(t, 2, d.f.counters()[discardCounterNames[requestRepeated]])
		})
	}
}

// A message of the log counts from where its sender is.
func TestAMessageOfTheLogCountsOnlyFromItsSender(t *testing.T) {
	for from, leads := range map[string]consensus.ID{"10.0.0.2": "10.0.0.2", "10.0.0.3": "", "10.9.9.9": ""} {
		d := newDesk("10.0.0.1", "10.0.0.1", "10.0.0.2", "10.0.0.3")
		d.f.HandleFrame(from, &rpc.Frame{Consensus: &consensus.Message{Type: consensus.MsgHeartbeat, From: "10.0.0.2", To: "10.0.0.1", Term: 4, SentAtMs: 1}})
		require.Equal(t, leads, d.f.consensus.Leader(), "from %s", from)
		require.EqualValues(t, map[bool]int64{true: 1}[leads == ""], d.f.counters()[discardCounterNames[messageWrongSender]])
	}
}

// What is out is bounded in number and bytes, and what came by whom as well.
func TestWhatIsPassedOnIsBounded(t *testing.T) {
	d := newDesk("10.0.0.1", "10.0.0.1", "10.0.0.2", "10.0.0.3")
	d.follows("10.0.0.2", 4)
	refused := 0
	for range maxForwarded + 10 {
		d.f.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(int, []byte) { refused++ })
	}
	require.Equal(t, 10, refused)
	require.EqualValues(t, 10, d.f.counters()[discardCounterNames[requestOverLimit]])
	d.run(3 * time.Second)
	require.Empty(t, d.f.forwarder.pending, "forgotten once nobody waits")
	d.follows("10.0.0.2", 4)
	refused = 0
	large := make([]byte, configReplace.maxBodyBytes)
	for range maxForwardedBytes/configReplace.maxBodyBytes + 3 {
		d.f.HandleCall(http.MethodPost, "/Config.Replace", "0", large, func(int, []byte) { refused++ })
	}
	require.Equal(t, 3, refused)
	d.run(6 * time.Second)
	require.Zero(t, d.f.forwarder.pendingBytes)
	status := 0
	d.f.HandleCall(http.MethodPost, "/Config.Replace", "0", append(large, 0), func(s int, _ []byte) { status = s })
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	for i := range 1000 {
		require.True(t, d.f.forwarder.received.first(requester{"10.0.0.2", uint64(i)}, 1))
	}
	require.Len(t, d.f.forwarder.received.windows, maxRequesters)
	require.Len(t, d.f.forwarder.received.order, maxRequesters)
}

// The window against a set: what comes in any order counts once, and what is far behind does not count.
func TestAWindowTakesEachSerialOnce(t *testing.T) {
	for seed := range 200 {
		w := scheduler.New(uint64(seed), 0, 1)
		var win serialWindow
		seen, newest := map[uint64]bool{}, uint64(0)
		for range 500 {
			serial := uint64(max(1, int64(newest)+int64(w.Rand.IntN(150))-100))
			want := !seen[serial] && (newest < 64 || serial > newest-64)
			require.Equal(t, want, win.accept(serial), "seed %d: %d after %d", seed, serial, newest)
			seen[serial], newest = seen[serial] || want, max(newest, serial)
		}
	}
}
