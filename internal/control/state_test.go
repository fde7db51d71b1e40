package control

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/scheduler"
)

// A mill is three members on links and disks that take their time by the byte, and an operator who changes one route
// after another.
type mill struct {
	*scheduler.Scheduler
	posts   []*post
	routes  int
	version int64  // the newest that was acknowledged
	body    []byte // of it
	under   []byte // under way
	gap     int64
	pad     int  // bytes that are new in each version
	calm    bool // no more changes
	rate    int64
}

type post struct {
	w     *mill
	f     *Server
	up    bool
	cut   bool
	life  int
	id    storage.Identity
	disk  consensus.RestoredState
	queue []consensus.Write
	slow  int64 // how many times as long its disk takes
	free  int64 // when its disk is done with what it was given
	order map[string]int64
	bytes int64 // sent, without calls that were passed on

	stored, syncs int64
}

func newMill(seed uint64, routes int, gap int64) *mill {
	w := &mill{Scheduler: scheduler.New(seed, 0, 1), routes: routes, gap: gap, rate: 12500} // 100 Mbit/s
	var founders []consensus.ID
	for i := range 3 {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for _, id := range founders {
		p := &post{w: w, id: storage.Identity{ID: id, Founders: founders}, slow: 1}
		w.posts = append(w.posts, p)
		p.start()
	}
	w.After(1500, w.change)
	return w
}

func (p *post) ip() string { return p.id.ID.Address() }

func (p *post) start() {
	w := p.w
	p.life++
	p.up, p.queue, p.order, p.free = true, nil, map[string]int64{}, 0
	plate := &settings.Settings{Node: "n" + p.ip(), Ip: p.ip(), BeatMs: 1200, SeedPeers: []string{"10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"}}
	plate.FaultBudget.Machines = 1
	plate.Listen.Control = p.ip() + ":8080"
	kept := p.disk
	kept.Entries = slices.Clone(kept.Entries)
	clock := eventloop.NewSteadyClock(func() time.Time { return time.UnixMilli(w.Now) })
	f, err := New(plate, hclog.NewNullLogger(), clock, p.id, kept, w.Rand.Float64, uint64(p.life))
	if err != nil {
		panic(err)
	}
	p.f = f
	life := p.life
	f.SetEnvironment(Environment{Send: p.send, Persist: func(x []consensus.Write) { p.store(life, x) }, QueryHost: func(failover.HostQuery, statemachine.Host) {}, Promote: func(failover.Promotion) {}})
	p.tick(life)
}

func (p *post) tick(life int) {
	p.do(life, func() {
		p.f.Tick()
		if l := p.w.leader(); l == p && p.f.state.Generation < p.w.version {
			p.w.Violate("%s leads with version %d, %d was acknowledged", p.id.ID, p.f.state.Generation, p.w.version)
		}
		p.w.After(50, func() { p.tick(life) })
	})
}

func (p *post) do(life int, what func()) {
	if p.up && p.life == life {
		what()
	}
}

func (p *post) send(ip string, f *rpc.Frame) {
	w, size := p.w, int64(200)
	if f.Consensus != nil {
		for _, e := range f.Consensus.Entries {
			size += int64(len(e.Data))
		}
		if f.Consensus.Chunk != nil {
			size += int64(len(f.Consensus.Chunk.Data))
		}
	}
	if p.bytes += size; f.ForwardRequest != nil {
		size += int64(len(f.ForwardRequest.Body))
	}
	p.order[ip] = max(p.order[ip], w.Now) + size/w.rate
	for _, to := range w.posts {
		if to.ip() == ip && to != p {
			life := to.life
			w.After(p.order[ip]-w.Now+w.Between(1, 4), func() {
				if !p.cut && !to.cut {
					to.do(life, func() { to.f.HandleFrame(p.ip(), f) })
				}
			})
		}
	}
}

func (p *post) store(life int, x []consensus.Write) {
	w, size := p.w, 0
	for _, one := range x {
		for _, e := range one.Entries {
			size += len(e.Data)
		}
		if one.Snapshot != nil {
			size += len(one.Snapshot.Data)
		}
	}
	p.stored, p.syncs = p.stored+int64(size), p.syncs+1
	p.queue = append(p.queue, x...)
	seq := x[len(x)-1].Seq
	p.free = max(p.free, w.Now) + (1+int64(size)/100_000)*p.slow
	w.After(p.free-w.Now, func() {
		p.do(life, func() {
			for len(p.queue) > 0 && p.queue[0].Seq <= seq {
				p.disk.ApplyWrite(p.queue[0])
				p.queue = p.queue[1:]
			}
			p.f.Persisted(seq)
		})
	})
}

// configuration is that of a version: one route is changed in each.
func (w *mill) configuration(version int64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Generation":%d,"Routes":[`, version)
	for i := range w.routes {
		deadline := 800
		if int64(i) == version%int64(w.routes) {
			deadline = int(version)
		}
		fmt.Fprintf(&b, `%s{"Name":"r%d","Host":"db%d","PathPrefix":"/","Kind":"leader","DeadlineMs":%d,"TargetMs":150,"Priority":1,"Service":"s","MaxTries":2}`,
			[]string{"", ","}[min(i, 1)], i, i, deadline)
	}
	b.WriteString(`],"Services":[{"Name":"s","MaxConns":57}],"More":"`)
	for range w.pad {
		b.WriteByte(byte('a' + w.Rand.IntN(26)))
	}
	b.WriteString(`"}`)
	return b.Bytes()
}

// change has the operator send a change, to any member, until it is acknowledged.
func (w *mill) change() {
	if w.calm {
		return
	}
	next := w.version + 1
	w.under = w.configuration(next)
	body, done := w.under, false
	var try func()
	try = func() {
		if done {
			return
		}
		p := w.posts[w.Rand.IntN(3)]
		if l := w.leader(); l != nil && !w.OneIn(4) {
			p = l
		}
		p.do(p.life, func() {
			p.f.HandleCall(http.MethodPost, "/Config.Replace", fmt.Sprint(next-1), body, func(status int, answer []byte) {
				switch {
				case status == http.StatusOK && !done:
					done, w.version, w.body = true, next, body
					w.After(w.gap, w.change)
				case status < 500 && status != http.StatusOK:
					w.Violate("version %d is refused: %d %s", next, status, answer)
				}
			})
		})
		w.After(300, try)
	}
	try()
}

func (w *mill) leader() *post {
	for _, p := range w.posts {
		if p.up && !p.cut && p.f.leading && p.f.consensus.HoldsLease(p.f.clock.Now()) {
			return p
		}
	}
	return nil
}

// agree asserts that members that stand at one place hold the same.
func (w *mill) agree() {
	for i, a := range w.posts {
		for _, b := range w.posts[:i] {
			if a.up && b.up && !a.f.diverged && !b.f.diverged && a.f.state.Index == b.f.state.Index && a.f.state.Checksum() != b.f.state.Checksum() {
				w.Violate("%s and %s differ at %d", a.ip(), b.ip(), a.f.state.Index)
			}
		}
	}
}

// A member that was away, for any number of changes, is whole again within CatchupS while changes go on, on a slow disk and
// with up to 2,000 routes; and once all power is lost, what was acknowledged is served within 2 s of the last start.
func TestAMemberCatchesUpUnderAStormAndAllServeSoonAfterAllPowerIsLost(t *testing.T) {
	seeds := 12
	if testing.Short() {
		seeds = 5
	}
	parts := int64(0)
	for seed := range seeds {
		w := newMill(uint64(seed), []int{10, 300, 40, 100, 10, 2000, 20, 10, 40, 900, 20, 10}[seed%12], []int64{60, 20, 5}[seed%3])
		w.RunFor(4000)
		for before := int64(w.Rand.IntN(900)); w.version < before && w.routes < 900 && w.Now < 60_000; {
			w.RunFor(500)
		}
		p := w.posts[w.Rand.IntN(3)]
		if l := w.leader(); l != nil && w.OneIn(2) {
			p = l
		}
		how := w.Rand.IntN(4)
		old := p.disk
		if how == 3 { // it comes back with a file of some time ago
			old.Entries = slices.Clone(old.Entries)
			w.RunFor(w.Between(500, 6000))
		}
		if how == 2 {
			p.cut = true
		} else {
			p.up, p.queue = false, nil
		}
		w.RunFor(w.Between(100, 9000))
		if p.slow = 1; w.OneIn(2) {
			p.slow = 25
		}
		switch how {
		case 0:
			p.id, p.disk = storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%d", p.ip(), seed))}, consensus.RestoredState{}
			p.start()
		case 1:
			p.start()
		case 3:
			p.disk = old
			p.start()
		}
		p.cut = false
		was, behind, whole := w.version, w.version-p.f.state.Generation, int64(-1)
		for at := int64(20); at <= 4000; at += 20 {
			if w.RunFor(20); whole < 0 && p.f.state.Generation >= was && !p.f.diverged {
				whole = at
			}
		}
		t.Logf("%s, %d routes, %d changes behind, a disk %d times as slow: whole after %d ms",
			[]string{"empty", "restarted", "cut off", "put back to an older file"}[how], w.routes, behind, p.slow, whole)
		if p.f.state.Generation < was || p.f.diverged {
			w.Violate("%s (how %d, %d times slow) stands at version %d, %d was before it came back", p.id.ID, how, p.slow, p.f.state.Generation, was)
		}
		w.agree()
		parts += p.f.consensus.SnapshotsInstalled
		for _, o := range w.posts { // all power
			o.up, o.queue, o.slow = false, nil, 1
		}
		acked, body, under := w.version, w.body, w.under
		w.calm = true
		for _, o := range w.posts {
			w.After(w.Between(0, 400), o.start)
		}
		w.RunFor(400 + 2000)
		switch l := w.leader(); {
		case l == nil:
			w.Violate("nobody leads 2 s after the last start")
		case l.f.state.Generation < acked || !bytes.Equal(l.f.state.ConfigBody, body) && !bytes.Equal(l.f.state.ConfigBody, under):
			w.Violate("version %d is served, %d was acknowledged", l.f.state.Generation, acked)
		}
		w.RunFor(1500)
		w.agree()
		for _, o := range w.posts {
			if o.f.state.Generation < acked || o.f.StateDivergences.Load() > 0 {
				w.Violate("%s stands at version %d of %d, diverged %d", o.id.ID, o.f.state.Generation, acked, o.f.StateDivergences.Load())
			}
		}
		require.Empty(t, w.Violations, "seed %d, %d routes, %d changes", seed, w.routes, acked)
		require.Greater(t, acked, int64(20), "seed %d", seed)
	}
	require.Positive(t, parts, "snapshots")
}

// Where changes are long, the log is trimmed by their bytes: neither disk nor memory holds more than a few of them.
func TestTheLogIsTrimmedByItsBytes(t *testing.T) {
	w := newMill(3, 10, 20)
	w.pad = 50_000
	for w.version < 60 && w.Now < 60_000 {
		w.RunFor(500)
		for _, p := range w.posts {
			bytes := 0
			for _, e := range p.disk.Entries {
				bytes += len(e.Data)
			}
			require.Less(t, bytes, minLogBytes+5*w.pad)
		}
	}
	require.GreaterOrEqual(t, w.version, int64(60))
	w.agree()
	require.Empty(t, w.Violations)
}

// other is a state at the same place and version as a member's, with another configuration.
func other(t *testing.T, f *Server, s *statemachine.State) *statemachine.State {
	spoilt, err := statemachine.Restore(s.Snapshot())
	require.NoError(t, err)
	spoilt.Generation--
	spoilt.Index--
	spoilt.AppliedUpdates = spoilt.AppliedUpdates[:len(spoilt.AppliedUpdates)-1] // a base is built on once
	body := bytes.Replace(spoilt.ConfigBody, []byte(`"TargetMs":150`), []byte(`"TargetMs":151`), 1)
	require.NoError(t, spoilt.Apply(spoilt.Index+1, statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{BaseVersion: spoilt.Generation, Body: body}}))
	return spoilt
}

// A member whose state is not what the log builds does not go on with it: it builds it anew of its own log, or, where that
// has it wrong as well, takes the leader's.
func TestAStateThatDivergedIsBuiltAnewOrFetched(t *testing.T) {
	for _, disk := range []bool{false, true} {
		w := newMill(7, 20, 20)
		for w.leader() == nil || w.leader().f.consensus.LatestSnapshot().Index == 0 {
			w.RunFor(500)
		}
		w.RunFor(1000)
		var p *post
		for _, o := range w.posts {
			if o != w.leader() && len(o.disk.Snapshot.Data) > 0 {
				p = o
			}
		}
		if disk {
			p.up, p.queue = false, nil
			s, err := statemachine.Restore(p.disk.Snapshot.Data)
			require.NoError(t, err)
			s.Index = p.disk.Snapshot.Index
			p.disk.Snapshot.Data = other(t, p.f, s).Snapshot()
			p.start()
		} else {
			p.f.state = other(t, p.f, p.f.state)
		}
		w.RunFor(12000)
		require.Positive(t, p.f.StateDivergences.Load(), "disk %v", disk)
		require.Equal(t, disk, p.f.consensus.SnapshotsInstalled > 0)
		require.False(t, p.f.diverged)
		require.Greater(t, p.f.state.Generation+20, w.version)
		w.calm = true
		w.RunFor(2000)
		w.agree()
		require.Equal(t, w.leader().f.state.Checksum(), p.f.state.Checksum(), "disk %v", disk)
		require.Empty(t, w.Violations)
	}
}
