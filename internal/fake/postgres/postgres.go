// Package postgres is a fleet of stand-in database hosts for tests and the
// laboratory. They speak PostgreSQL's protocol version 3 as far as routers use
// it (simple queries, by its public specification), on loopback: replica sets
// with one log each, roles, lag, capacity that is cold after a start, drains and
// faults by call. Ground truth is recorded: what ran, where, how often, from
// which position.
package postgres

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ferrypitch/internal/router/protocol"
)

// Terms are the same for all hosts of a fleet.
type Terms struct {
	Work     time.Duration // that a command takes
	Slots    int           // commands that a warm host runs at once
	Queue    int           // that wait beyond those, before a host turns away
	ColdFrom float64       // the part of its slots that a host has at its start
	ColdFor  time.Duration // until it has all
	Fall     float64       // times what it can do, sent for FallSpan, make a cold host fall
	FallSpan time.Duration
	Grace    time.Duration            // after a drain was told, until new commands break it
	Bounds   map[string]time.Duration // of groups whose reads may be so old
	Once     map[string]bool          // groups whose commands must not run twice
}

// Fleet is all hosts and the truth of them.
type Fleet struct {
	Terms
	mu    sync.Mutex
	sets  map[int64]*set
	hosts map[string]*Host
	ran   map[string]int // mutating commands by id
	tasks sync.WaitGroup
	Truth
}

// Truth is what happened, by the hosts' own record.
type Truth struct {
	Commands, Probes                int
	Doubled, Stale, Drained, Fallen int // the rules' breaks
	Turned, Missed, Writes          int
	By                              map[string]int // commands answered, by host
	Notes                           []string       // of breaks, the first few
}

type set struct {
	primary *Host
	end     time.Time // of the log, while no primary is there
	commits map[string]time.Time
	last    time.Time
}

// Host is one stand-in host.
type Host struct {
	Name     string
	Set      int64
	fleet    *Fleet
	listener net.Listener
	address  string
	conns    map[net.Conn]bool
	up       bool
	hang     chan struct{} // closed when it goes on; nil: it does not hang
	slow     time.Duration
	lag      time.Duration
	boot     time.Time // zero: long ago
	drainAt  time.Time // told; zero: not
	running  int
	waiting  int
	changed  *sync.Cond
	arrived  []time.Time // at a cold host
	stands   bool        // it believes to be the primary whatever the set says
}

// New makes a fleet without hosts.
func New(t Terms) *Fleet {
	return &Fleet{Terms: t, sets: map[int64]*set{}, hosts: map[string]*Host{}, ran: map[string]int{},
		Truth: Truth{By: map[string]int{}}}
}

// Add starts a host on a free loopback port; the first of a set is its primary.
func (f *Fleet) Add(name string, in int64, lag time.Duration) (*Host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{Name: name, Set: in, fleet: f, address: l.Addr().String(), conns: map[net.Conn]bool{}, lag: lag}
	h.changed = sync.NewCond(&f.mu)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sets[in] == nil {
		f.sets[in] = &set{primary: h, commits: map[string]time.Time{}}
	}
	f.hosts[name] = h
	h.serve(l)
	return h, nil
}

// Address is where it listens, also after it came back.
func (h *Host) Address() string { return h.address }

// Boot is when it last started, in Unix milliseconds; 0: long ago.
func (h *Host) Boot() int64 {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if h.boot.IsZero() {
		return 0
	}
	return h.boot.UnixMilli()
}

// Primary is a set's primary, nil while there is none.
func (f *Fleet) Primary(in int64) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sets[in].primary
}

// Hosts are all, in the order of their names.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Host
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		all = append(all, f.hosts[name])
	}
	return all
}

// Seen is a copy of the truth so far.
func (f *Fleet) Seen() Truth {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.Truth
	t.By, t.Notes = maps.Clone(t.By), slices.Clone(t.Notes)
	return t
}

// Ran is how often a mutating command had its effect.
func (f *Fleet) Ran(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

// Broken is how many breaks of rules the hosts saw.
func (t Truth) Broken() int { return t.Doubled + t.Stale + t.Drained + t.Fallen }

// Kill ends a host as its process would: connections are reset, new ones refused.
func (h *Host) Kill() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.kill()
}

func (h *Host) kill() {
	if !h.up {
		return
	}
	h.up = false
	h.listener.Close()
	for c := range h.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	if s := h.fleet.sets[h.Set]; s.primary == h {
		s.primary, s.end = nil, time.Now()
	}
	h.changed.Broadcast()
}

// Return starts a killed host again, cold, as a replica.
func (h *Host) Return() error {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.boot, h.arrived, h.hang, h.stands, h.running, h.waiting = time.Now(), nil, nil, false, 0, 0
	h.serve(l)
	return nil
}

// Promote makes a host its set's primary; the log goes on from its end. The old one, if it still
// stands, becomes a replica.
func (h *Host) Promote() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	s := h.fleet.sets[h.Set]
	s.primary, s.end = h, time.Time{}
}

// Hang has a host take what comes and answer nothing, until the function it returns is called. The
// set's log stands still if it was the primary.
func (h *Host) Hang() (goOn func()) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.hang = make(chan struct{})
	hang := h.hang
	if s := h.fleet.sets[h.Set]; s.primary == h {
		s.primary, s.end = nil, time.Now()
	}
	return sync.OnceFunc(func() {
		h.fleet.mu.Lock()
		defer h.fleet.mu.Unlock()
		if h.hang == hang {
			h.hang = nil
		}
		close(hang)
	})
}

// Slow makes each command take so much longer.
func (h *Host) Slow(by time.Duration) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.slow = by
}

// Drain notes when the drain was told to whoever routes, or, with the zero time, that it is over.
func (h *Host) Drain(told time.Time) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.drainAt = told
}

// Stop ends all hosts and waits for them.
func (f *Fleet) Stop() {
	f.mu.Lock()
	for _, h := range f.hosts {
		h.kill()
		if h.hang != nil {
			close(h.hang)
			h.hang = nil
		}
	}
	f.mu.Unlock()
	f.tasks.Wait()
}

// serve accepts on a listener; the fleet is locked.
func (h *Host) serve(l net.Listener) {
	h.listener, h.up = l, true
	f := h.fleet
	f.tasks.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			if !h.up || h.listener != l {
				conn.Close()
				f.mu.Unlock()
				continue
			}
			h.conns[conn] = true
			f.tasks.Go(func() { h.connection(conn) })
			f.mu.Unlock()
		}
	})
}

func (h *Host) connection(conn net.Conn) {
	f := h.fleet
	defer func() {
		conn.Close()
		f.mu.Lock()
		delete(h.conns, conn)
		f.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	if _, err := message(in, 0); err != nil {
		return
	}
	if _, err := conn.Write(protocol.AppendGreeting(nil)); err != nil {
		return
	}
	for {
		kind, err := in.ReadByte()
		if err != nil || kind != protocol.Query {
			return
		}
		body, err := message(in, 1<<20)
		if err != nil {
			return
		}
		statement, ok := protocol.Statement(body)
		if !ok {
			return
		}
		out, ok := h.answer(string(statement))
		if !ok {
			return
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

func message(in *bufio.Reader, most uint32) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < 4 || n > max(most, protocol.LongestStartup) {
		return nil, protocol.ErrLength
	}
	body := make([]byte, n-4)
	_, err := io.ReadFull(in, body)
	return body, err
}

// applied is up to when a host has all commits; the fleet is locked.
func (h *Host) applied(now time.Time) time.Time {
	s := h.fleet.sets[h.Set]
	if !s.end.IsZero() {
		now = s.end
	}
	if s.primary == h {
		return now
	}
	return now.Add(-h.lag)
}

func (h *Host) role() string {
	if h.fleet.sets[h.Set].primary == h {
		return "leader"
	}
	return "follower"
}

// milliseconds is a position on the wire.
func milliseconds(t time.Time) string {
	return strconv.FormatFloat(float64(t.UnixMicro())/1000, 'f', 3, 64)
}

// answer runs one statement. ok is false where the connection ends without an answer.
func (h *Host) answer(q string) (out []byte, ok bool) {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if hang := h.hang; hang != nil {
		f.mu.Unlock()
		<-hang
		f.mu.Lock()
		if !h.up {
			return nil, false
		}
	}
	now := time.Now()
	if q == "SELECT 1" || q == "SHOW server_load" {
		f.Probes++
		return h.row("1", h.applied(now)), true
	}
	command, err := protocol.ParseCommand([]byte(q))
	if err != nil {
		return h.refuse("08P01", now), true
	}
	id, group, key, after, writes := command.ID, command.Group, command.Key, command.WrittenAtMs, command.IsWrite
	f.Commands++
	if !h.drainAt.IsZero() && now.After(h.drainAt.Add(f.Grace)) {
		f.Drained++
		f.note("%s: %s %v after its drain was told", h.Name, id, now.Sub(h.drainAt))
	}
	if !h.take(now) {
		f.Turned++
		return h.refuse(protocol.TooMany, now), true
	}
	for h.running >= h.slots(time.Now()) && h.up {
		h.waiting++
		h.changed.Wait()
		h.waiting--
	}
	if !h.up {
		return nil, false
	}
	h.running++
	work := f.Work + h.slow
	if writes && h.role() != "leader" {
		work = 0
	}
	f.mu.Unlock()
	time.Sleep(work)
	f.mu.Lock()
	h.running = max(0, h.running-1)
	h.changed.Signal()
	if !h.up {
		return nil, false
	}
	s, at := f.sets[h.Set], time.Now()
	if writes {
		if s.primary != h {
			f.Missed++
			return h.refuse(protocol.ReadOnly, at), true
		}
		f.Writes++
		if f.ran[id]++; f.ran[id] > 1 && f.Once[group] {
			f.Doubled++
			f.note("%s: %s ran %d times", h.Name, id, f.ran[id])
		}
		commit := at
		if !commit.After(s.last) {
			commit = s.last.Add(time.Microsecond)
		}
		s.last, s.commits[key] = commit, commit
		f.By[h.Name]++
		return h.row(h.Name+" "+id+" "+milliseconds(commit), commit), true
	}
	applied := h.applied(at)
	need := time.UnixMicro(int64(math.Ceil(after * 1000)))
	if bound, bounded := f.Bounds[group]; bounded {
		need = now.Add(-bound - 50*time.Millisecond)
	}
	if h.role() != "leader" && applied.Before(need) {
		f.Stale++
		f.note("%s: %s read %v behind", h.Name, id, need.Sub(applied))
	}
	f.By[h.Name]++
	return h.row(h.Name+" "+id, applied), true
}

// take says whether a host has room for one more, and notes what makes a cold one fall.
func (h *Host) take(now time.Time) bool {
	f := h.fleet
	if !h.boot.IsZero() && now.Before(h.boot.Add(f.ColdFor)) {
		h.arrived = append(h.arrived, now)
		from := 0
		for from < len(h.arrived) && h.arrived[from].Before(now.Add(-f.FallSpan)) {
			from++
		}
		h.arrived = h.arrived[from:]
		can := float64(h.slots(now)) * f.FallSpan.Seconds() / f.Work.Seconds()
		if float64(len(h.arrived)) > f.Fall*can+8 {
			f.Fallen++
			f.note("%s: %d commands in %v while cold, it can do %.0f", h.Name, len(h.arrived), f.FallSpan, can)
			h.arrived = nil
		}
	}
	return h.waiting < f.Queue
}

// slots is how many commands run at once; the fleet is locked.
func (h *Host) slots(now time.Time) int {
	f := h.fleet
	part := 1.0
	if !h.boot.IsZero() {
		part = min(1, f.ColdFrom+(1-f.ColdFrom)*now.Sub(h.boot).Seconds()/max(1e-9, f.ColdFor.Seconds()))
	}
	return max(1, int(part*float64(f.Slots)))
}

func (f *Fleet) note(format string, args ...any) {
	if len(f.Notes) < 20 {
		f.Notes = append(f.Notes, fmt.Sprintf(format, args...))
	}
}

func parameter(b []byte, name, value string) []byte {
	b = append(b, protocol.ParameterStatus)
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(name)+len(value)+2))
	return append(append(append(append(b, name...), 0), value...), 0)
}

func (h *Host) words(b []byte, at time.Time) []byte {
	b = parameter(parameter(b, "node_role", h.role()), "replay_position", milliseconds(at))
	return protocol.AppendReady(b)
}

func (h *Host) row(value string, at time.Time) []byte {
	b := []byte{protocol.RowDescription}
	b = binary.BigEndian.AppendUint32(b, 4+2+2+18)
	b = append(b, 0, 1, 'v', 0)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	b = append(b, protocol.DataRow)
	b = binary.BigEndian.AppendUint32(b, uint32(4+2+4+len(value)))
	b = append(b, 0, 1)
	b = append(binary.BigEndian.AppendUint32(b, uint32(len(value))), value...)
	tag := "SELECT 1"
	b = append(b, protocol.CommandComplete)
	b = append(append(binary.BigEndian.AppendUint32(b, uint32(4+len(tag)+1)), tag...), 0)
	return h.words(b, at)
}

func (h *Host) refuse(code string, now time.Time) []byte {
	return h.words(protocol.AppendError(nil, "ERROR", code, "refused by "+h.Name, ""), h.applied(now))
}

// HostOf is the host that a value names.
func HostOf(value string) string {
	name, _, _ := strings.Cut(value, " ")
	return name
}
