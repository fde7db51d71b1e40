// Package database is a stand-in for a service's hosts: a log of commits that replicas receive over a network and apply
// later, transactions, FENCE, STAT, PAUSE, STEPDOWN and promotion, as PROTOCOL.md tells of them. It has no sockets and no
// clock: a Stage brings both time and chance, so seeded worlds and real sockets (Server) run the same hosts.
package database

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ferrypitch/internal/wire"
)

// Units of a Stage's spans: tenths of a millisecond.
const (
	Ms     = 10
	Second = 1000 * Ms
)

// Scheduler runs what is due, one thing at a time.
type Scheduler interface {
	After(after int64, do func())
	Between(a, b int64) int64
	OneIn(n int) bool // yes once in n
}

// Group is one service's hosts.
type Group struct {
	Scheduler
	Hosts   []*Host
	Note    func(format string, args ...any)
	Read    func(h *Host, c *Conn, id string) // before a read runs
	Told    func(h *Host)                     // a host's beat is due
	Losses  int                               // one answer in so many is lost; 0: none
	Refused int                               // one write in so many meets RETRY; 0: none
}

// Host is a database host.
type Host struct {
	g       *Group
	ID      string
	Up      bool
	Dark    bool // says nothing, not even that it is down
	Deaf    bool // receives nothing
	Stuck   func() int64
	Leader  bool
	Term    uint64
	Paused  uint64
	Log     []Entry
	Applied int
	Lag     int64
	Conns   map[*Conn]bool
	Crashes int
	opened  int
	acks    []ack
}

// Entry is a commit.
type Entry struct {
	Term uint64
	Data []string
}

type ack struct {
	n    int
	term uint64
	done func()
}

// Add adds a host; the first leads.
func (g *Group) Add(id string) *Host {
	h := &Host{g: g, ID: id, Up: true, Term: 1, Lag: g.Between(2*Ms, 30*Ms), Leader: len(g.Hosts) == 0, Conns: map[*Conn]bool{},
		Stuck: func() int64 { return 0 }}
	g.Hosts = append(g.Hosts, h)
	h.beat()
	h.pull()
	return h
}

// Host is the host of an id.
func (g *Group) Host(id string) *Host {
	for _, h := range g.Hosts {
		if h.ID == id {
			return h
		}
	}
	return nil
}

// Lead is who leads the greatest term; nil: nobody that is up.
func (g *Group) Lead() (lead *Host) {
	for _, h := range g.Hosts {
		if h.Up && h.Leader && (lead == nil || h.Term > lead.Term) {
			lead = h
		}
	}
	return lead
}

// At is the position of the first n entries.
func (h *Host) At(n int) wire.Position {
	if n == 0 {
		return wire.Position{Term: 1}
	}
	return wire.Position{Term: h.Log[n-1].Term, Number: uint64(n)}
}

// Seen is how many entries a read sees.
func (h *Host) Seen() int {
	if h.Leader {
		return len(h.Log)
	}
	return h.Applied
}

// Has says whether a read sees a position.
func (h *Host) Has(p wire.Position) bool {
	n := int(p.Number)
	return n <= h.Seen() && (n == 0 || h.Log[n-1].Term == p.Term)
}

func (h *Host) beat() {
	h.g.After(h.g.Between(1100*Ms, 1300*Ms), h.beat)
	h.tell()
}

func (h *Host) tell() {
	if h.Up && !h.Dark && h.g.Told != nil {
		h.g.Told(h)
	}
}

// pull has a replica receive from whoever leads the greatest term.
func (h *Host) pull() {
	g := h.g
	g.After(g.Between(2*Ms, 8*Ms), h.pull)
	if !h.Up || h.Leader || h.Deaf || h.Paused > 0 || h.Dark {
		return
	}
	var from *Host
	for _, o := range g.Hosts {
		if o.Up && !o.Dark && o.Leader && o.Term >= h.Term && (from == nil || o.Term > from.Term) {
			from = o
		}
	}
	if from == nil {
		return
	}
	h.Term = from.Term
	same := min(len(h.Log), len(from.Log))
	for same > 0 && h.Log[same-1].Term != from.Log[same-1].Term {
		same--
	}
	h.Log = append(h.Log[:same], from.Log[same:]...)
	h.Applied = min(h.Applied, same)
	n, term := len(h.Log), from.Term
	g.After(h.Lag, func() {
		if h.Up && n <= len(h.Log) {
			h.Applied = max(h.Applied, n)
		}
	})
	g.After(g.Between(Ms, 3*Ms), func() {
		if !from.Up || from.Term != term {
			return
		}
		var left []ack
		for _, a := range from.acks {
			if a.term == term && a.n <= n {
				a.done()
			} else {
				left = append(left, a)
			}
		}
		from.acks = left
	})
}

// Promote makes a host the leader of the next term with what it had received; false: it is not running.
func (h *Host) Promote() bool {
	g := h.g
	if !h.Up {
		return false
	}
	term := h.Term
	for _, o := range g.Hosts {
		term = max(term, o.Term)
	}
	if h.Leader && h.Term == term { // the present primary; one that only has not heard of its successor is none
		return true
	}
	h.Term, h.Leader, h.Paused, h.acks = term+1, true, 0, nil
	g.Note("%s is promoted to term %d with %d entries", h.ID, h.Term, len(h.Log))
	for _, o := range g.Hosts {
		if o == h {
			continue
		}
		if o.Up && !o.Dark && !o.Deaf && !o.Leader { // it is told, and receives from none of an older term any more
			o.Paused, o.Term = 0, max(o.Term, h.Term)
		}
		if old := o; o.Leader { // it goes on for a while
			g.After(g.Between(0, Second), func() {
				if old.Up && old.Leader && old.Term < h.Term {
					old.StepDown()
				}
			})
		}
	}
	h.tell()
	return true
}

// StepDown makes a leader a replica.
func (h *Host) StepDown() {
	if h.Leader {
		h.Leader, h.acks, h.Applied = false, nil, len(h.Log)
		h.tell()
	}
}

// Crash ends a host for a while; a dark one says nothing.
func (h *Host) Crash(dark bool, back int64) {
	g := h.g
	if !h.Up {
		return
	}
	g.Note("%s crashes, dark %v, leader %v", h.ID, dark, h.Leader)
	h.Up, h.Dark, h.acks = false, dark, nil
	h.Crashes++
	for _, c := range slices.SortedFunc(maps.Keys(h.Conns), func(a, b *Conn) int { return a.serial - b.serial }) {
		c.Close()
		if !dark {
			c.Broke()
		}
	}
	g.After(back, func() {
		h.Up, h.Dark, h.Paused = true, false, 0
		for _, o := range g.Hosts {
			if o.Term > h.Term && h.Leader { // another was promoted, whether it leads still or not
				h.Leader, h.Applied = false, len(h.Log)
			}
		}
		g.Note("%s is back, leader %v", h.ID, h.Leader)
		h.tell()
	})
}

// Control runs STAT, PAUSE, RESUME and STEPDOWN; the result is the row.
func (h *Host) Control(verb string, term uint64) wire.HostStatus {
	switch {
	case verb == "PAUSE" && term > h.Term && !h.Leader:
		h.Paused = term
	case verb == "RESUME":
		h.Paused = 0
	case verb == "STEPDOWN" && term > h.Term:
		h.StepDown()
	}
	return wire.HostStatus{Leader: h.Leader, Term: h.Term, Received: h.At(len(h.Log)), Held: h.Paused, Conns: int64(len(h.Conns))}
}

// Conn is a connection at a host. Answer brings the lines of an answer, IDLE included; Broke tells that it ended.
type Conn struct {
	H      *Host
	State  byte
	Reads  bool   // its transaction only reads
	Began  string // the id of the statement that began it
	Values map[string]string
	Names  map[string]string
	Answer func(after int64, a wire.Response)
	Broke  func()

	pending []string
	serial  int
}

// Connect opens a connection.
func (h *Host) Connect() *Conn {
	h.opened++
	c := &Conn{H: h, serial: h.opened, State: 'I', Values: map[string]string{}, Names: map[string]string{}}
	h.Conns[c] = true
	return c
}

// Close ends a connection; what was open is rolled back.
func (c *Conn) Close() {
	delete(c.H.Conns, c)
	c.State, c.pending = 'I', nil
}

func (c *Conn) say(after int64, lines string, code wire.Code) {
	h := c.H
	var a wire.Response
	take := func(line string) {
		if _, err := a.AddLine([]byte(line), []byte(line+"\r\n")); err != nil {
			panic(err)
		}
	}
	for l := range strings.SplitSeq(lines, "\n") {
		if l != "" {
			take(l)
		}
	}
	if code != "" {
		take("ERROR " + string(code) + " " + h.ID)
	}
	take(fmt.Sprintf("IDLE %c %s", c.State, h.At(h.Seen())))
	if h.g.Losses > 0 && h.g.OneIn(h.g.Losses) {
		c.Close()
		c.Broke()
		return
	}
	c.Answer(after, a)
}

func (c *Conn) fail(code wire.Code) {
	if c.State == 'T' {
		c.State, c.pending = 'E', nil
	}
	c.say(0, "", code)
}

// Query runs a statement.
func (c *Conn) Query(id, text string) {
	h, g := c.H, c.H.g
	verb, rest, _ := strings.Cut(text, " ")
	var fence *wire.Position
	if verb == "FENCE" {
		at, then, _ := strings.Cut(rest, " ")
		p, err := wire.ParsePosition([]byte(at))
		if err != nil {
			c.say(0, "", wire.CodeMalformed)
			return
		}
		fence = &p
		verb, rest, _ = strings.Cut(then, " ")
	}
	if verb == "EXECUTE" {
		name, then, _ := strings.Cut(rest, " ")
		shape, ok := c.Names[name]
		if !ok {
			c.fail(wire.CodeUnknown)
			return
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = then
	}
	if c.State == 'E' && verb != "COMMIT" && verb != "ABORT" {
		c.say(0, "", wire.CodeMalformed)
		return
	}
	stamp := "DONE x." + id
	switch verb {
	case "SET":
		k, v, _ := strings.Cut(rest, " ")
		c.Values[k] = v
		c.say(0, "DONE -", "")
	case "RESET":
		c.Values, c.Names = map[string]string{}, map[string]string{}
		c.say(0, "DONE -", "")
	case "PREPARE":
		k, v, _ := strings.Cut(rest, " ")
		c.Names[k] = v
		c.say(0, "DONE -", "")
	case "CLOSE":
		delete(c.Names, rest)
		c.say(0, "DONE -", "")
	case "BEGIN":
		switch {
		case fence != nil && !h.Has(*fence):
			c.say(0, "", wire.CodeLagging)
		case rest == "" && !h.Leader:
			c.say(0, "", wire.CodeReadOnly)
		default:
			c.State, c.Reads, c.Began, c.pending = 'T', rest == "FETCH", id, nil
			c.say(0, "DONE -", "")
		}
	case "ABORT":
		c.State, c.pending = 'I', nil
		c.say(0, "DONE -", "")
	case "COMMIT":
		failed, writes := c.State == 'E', c.pending
		c.State, c.pending = 'I', nil
		switch {
		case failed:
			c.say(0, "", wire.CodeAborted)
		case len(writes) == 0:
			c.say(0, stamp, "")
		case !h.Leader:
			c.say(0, "", wire.CodeReadOnly)
		default:
			c.commit(stamp, writes)
		}
	case "FETCH":
		switch {
		case fence != nil && !h.Has(*fence):
			c.fail(wire.CodeLagging)
		case c.State == 'T' && !c.Reads && !h.Leader:
			c.fail(wire.CodeReadOnly)
		default:
			if g.Read != nil {
				g.Read(h, c, id)
			}
			c.say(g.Between(Ms, 8*Ms), "ROW "+rest+"\n"+stamp, "")
		}
	case "STORE":
		_, data, _ := strings.Cut(rest, " ")
		switch {
		case !h.Leader || c.State == 'T' && c.Reads:
			c.fail(wire.CodeReadOnly)
		case c.State == 'T':
			c.pending = append(c.pending, data)
			c.say(g.Between(Ms, 5*Ms), stamp, "")
		case g.Refused > 0 && g.OneIn(g.Refused):
			c.say(0, "", wire.CodeRetry)
		default:
			c.commit(stamp, []string{data})
		}
	case "STAT", "PAUSE", "RESUME", "STEPDOWN":
		term := uint64(0)
		fmt.Sscan(rest, &term)
		s := h.Control(verb, term)
		role := "follower"
		if s.Leader {
			role = "leader"
		}
		c.say(0, fmt.Sprintf("ROW %s %d %s %d 0 0 %d\nDONE -", role, s.Term, s.Received, s.Held, s.Conns), "")
	default:
		c.say(0, "", wire.CodeMalformed)
	}
}

// commit is answered once a replica has received it.
func (c *Conn) commit(stamp string, data []string) {
	h := c.H
	h.Log = append(h.Log, Entry{h.Term, data})
	h.acks = append(h.acks, ack{len(h.Log), h.Term, func() { c.say(0, stamp, "") }})
}

// Same says whether a connection has just these values.
func (c *Conn) Same(values map[string]string) bool { return maps.Equal(c.Values, values) }

// Find is where a datum stands last, in the first log that holds it.
func (g *Group) Find(data string) (wire.Position, bool) {
	for _, h := range g.Hosts {
		for i, e := range slices.Backward(h.Log) { // it is asked for what was written just now
			if slices.Contains(e.Data, data) {
				return h.At(i + 1), true
			}
		}
	}
	return wire.Position{}, false
}

// Times is how often each datum stands in a host's log.
func (h *Host) Times() map[string]int {
	times := map[string]int{}
	for _, e := range h.Log {
		for _, d := range e.Data {
			times[d]++
		}
	}
	return times
}
