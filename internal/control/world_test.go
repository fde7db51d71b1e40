package control

import (
	"fmt"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/scheduler"
)

const (
	milli  = int64(10) // the stage's units
	second = 1000 * milli
)

// A world is a control plane alone: members with disks that forget what was not synced, on a network that can be cut one
// way, and no hosts or routers.
type world struct {
	*scheduler.Scheduler
	members []*member
	cut     map[[2]string]bool // from, to
	calmAt  int64              // when the last trouble ended
}

type member struct {
	w      *world
	ip     string
	f      *Server
	up     bool
	frozen bool
	life   int
	id     storage.Identity
	disk   consensus.RestoredState
	queue  []consensus.Write
	held   []func()
	order  map[string]int64 // when what was last sent to another comes
}

func newWorld(seed uint64, members int) *world {
	w := &world{Scheduler: scheduler.New(seed, second, milli), cut: map[[2]string]bool{}}
	var founders []consensus.ID
	for i := range 3 {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for i := range members {
		m := &member{w: w, ip: fmt.Sprintf("10.0.0.%d", i+1)}
		m.id = storage.Identity{ID: consensus.ID(m.ip + "+0")}
		if i < len(founders) {
			m.id = storage.Identity{ID: founders[i], Founders: founders}
		}
		w.members = append(w.members, m)
	}
	for _, m := range w.members {
		m.start()
	}
	return w
}

func (w *world) time() time.Time {
	return time.Unix(0, 0).Add(time.Duration(w.Now) * time.Millisecond / time.Duration(milli))
}

func (m *member) start() {
	w := m.w
	m.life++
	m.up, m.frozen, m.held, m.queue, m.order = true, false, nil, nil, map[string]int64{}
	plate := &settings.Settings{Node: "n" + m.ip, Ip: m.ip, Zone: "z", BeatMs: 1200}
	plate.FaultBudget.Machines = 1
	plate.Listen.Control = m.ip + ":8080"
	for _, o := range w.members[:3] {
		plate.SeedPeers = append(plate.SeedPeers, o.ip+":8080")
	}
	kept := m.disk
	kept.Entries = slices.Clone(kept.Entries)
	f, err := New(plate, hclog.NewNullLogger(), eventloop.NewSteadyClock(w.time), m.id, kept, w.Rand.Float64, uint64(m.life))
	if err != nil {
		panic(err)
	}
	m.f = f
	life := m.life
	f.SetEnvironment(Environment{
		Send:      m.send,
		Persist:   func(x []consensus.Write) { m.store(life, x) },
		QueryHost: func(failover.HostQuery, statemachine.Host) {},
		Promote:   func(failover.Promotion) {},
	})
	m.tick(life)
}

// do runs in the member's process, later if it stands still.
func (m *member) do(life int, what func()) {
	switch {
	case !m.up || m.life != life:
	case m.frozen:
		m.held = append(m.held, what)
	default:
		what()
	}
}

func (m *member) tick(life int) {
	m.do(life, func() {
		m.f.Tick()
		m.w.After(50*milli, func() { m.tick(life) })
	})
}

func (m *member) send(ip string, f *rpc.Frame) {
	w := m.w
	for _, to := range w.members {
		if to.ip != ip || to == m {
			continue
		}
		m.order[ip] = max(m.order[ip]+1, w.Now+w.Between(milli/2, 3*milli))
		life := to.life
		w.After(m.order[ip]-w.Now, func() {
			if !w.cut[[2]string{m.ip, ip}] {
				to.do(life, func() { to.f.HandleFrame(m.ip, f) })
			}
		})
	}
}

func (m *member) store(life int, x []consensus.Write) {
	w := m.w
	m.queue = append(m.queue, x...)
	seq := x[len(x)-1].Seq
	took := w.Between(milli/2, 8*milli)
	if w.OneIn(100) {
		took = w.Between(50*milli, 600*milli)
	}
	w.After(took, func() {
		m.do(life, func() {
			for len(m.queue) > 0 && m.queue[0].Seq <= seq {
				m.disk.ApplyWrite(m.queue[0])
				m.queue = m.queue[1:]
			}
			m.f.Persisted(seq)
		})
	})
}

// crash ends a life. What was not synced is lost with the power, and else kept up to a write.
func (m *member) crash(power bool) {
	m.up = false
	for _, x := range m.queue {
		if power || m.w.OneIn(2) {
			break
		}
		m.disk.ApplyWrite(x)
	}
	m.queue = nil
}

func (m *member) thaw(life int) {
	if !m.up || m.life != life {
		return
	}
	m.frozen = false
	for len(m.held) > 0 && m.up && !m.frozen {
		do := m.held[0]
		m.held = m.held[1:]
		do()
	}
}

func (w *world) leader() *member {
	for _, m := range w.members {
		if m.up && !m.frozen && m.f.leading && m.f.consensus.HoldsLease(m.f.clock.Now()) {
			return m
		}
	}
	return nil
}

// whole says that all founders' places are taken by members that run.
func (w *world) whole() bool {
	l := w.leader()
	if l == nil {
		return false
	}
	for _, id := range l.f.consensus.Members() {
		if !slices.ContainsFunc(w.members, func(m *member) bool { return m.up && !m.frozen && m.id.ID == id }) {
			return false
		}
	}
	return len(l.f.consensus.Members()) >= 3
}

// strike is one fault; faults may overlap, but a disk is lost only where all are well.
func (w *world) strike(until int64) {
	if w.Now > until {
		return
	}
	w.After(w.Between(100*milli, 2*second), func() { w.strike(until) })
	m := w.members[w.Rand.IntN(len(w.members))]
	if l := w.leader(); l != nil && w.OneIn(2) {
		m = l
	}
	if !m.up || m.frozen {
		return
	}
	back := w.Between(50*milli, 3*second)
	if w.OneIn(4) {
		back = w.Between(milli, 50*milli) // what is under way may outlive it
	}
	life := m.life
	calm := w.Now > w.calmAt+3*second
	w.calmAt = max(w.calmAt, w.Now+back)
	switch w.Rand.IntN(9) {
	case 0, 1:
		power := w.OneIn(2)
		w.Note("%s dies, power %v, for %d ms", m.ip, power, back/milli)
		m.crash(power)
		w.After(back, m.start)
	case 2:
		w.Note("%s stands still for %d ms", m.ip, back/milli)
		m.frozen = true
		w.After(back, func() { m.thaw(life) })
	case 3, 4:
		way := w.Rand.IntN(3)
		w.Note("%s is cut off for %d ms, ways %d", m.ip, back/milli, way)
		for _, o := range w.members {
			if way != 0 {
				w.part(m.ip, o.ip, back)
			}
			if way != 1 {
				w.part(o.ip, m.ip, back)
			}
		}
	case 5:
		if w.OneIn(3) {
			w.Note("all power is lost for %d ms", back/milli)
			for _, o := range w.members {
				if o.up {
					o.crash(true)
					w.After(back+w.Between(0, 300*milli), o.start)
				}
			}
		}
	case 6:
		w.Note("%s hands its view over", m.ip)
		m.f.carryOut(m.f.consensus.TransferLeadership(m.f.clock.Now()))
	case 7:
		w.Note("%s takes a snapshot", m.ip)
		m.f.carryOut(m.f.consensus.Compact(m.f.state.Index, m.f.state.Snapshot(), uint64(w.Rand.IntN(20)), m.f.clock.Now()))
	case 8:
		if calm && w.whole() {
			w.Note("%s loses its disk, down for %d ms", m.ip, back/milli)
			m.crash(true)
			m.disk = consensus.RestoredState{}
			m.id = storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%d", m.ip, m.life))}
			w.calmAt += 3 * second
			w.After(back, m.start)
		}
	}
}

func (w *world) part(from, to string, back int64) {
	w.cut[[2]string{from, to}] = true
	w.After(back, func() { delete(w.cut, [2]string{from, to}) })
}

func (w *world) play(span int64) {
	defer func() {
		if p := recover(); p != nil {
			w.Violate("a panic: %v\n%s", p, debug.Stack())
		}
	}()
	w.RunFor(span)
}

func (w *world) report() string {
	return strings.Join(w.Violations, "\n") + "\nafter\n" + strings.Join(w.FaultLog, "\n")
}
