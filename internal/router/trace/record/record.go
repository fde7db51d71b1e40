// Package record turns what goes in and out of the decision module into events
// of a trace, in the module's own order: enough to drive the module again. It is
// called by the module's owner alone, and never waits: a block that has no room
// to go to is lost, and the next one says how many events were.
//
//	routing -> Recorder (columns in memory) -> Sink (a writer's queue) -> files
package record

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/policy"
)

// Kinds of events, by their place in Schema. Those up to Anew are calls into the module, from Dispatch to Wake what it
// asked for, and the rest what happened beside it.
const (
	Host = iota
	Listed
	ListDone
	Take
	Ended
	Left
	Reported
	Probed
	Heard
	Woke
	Told
	Count
	Anew
	Dispatch
	Throttle
	Fail
	Probe
	Close
	Forget
	Tell
	Wake
	Candidate
	List
	Stall
	Reload
	Clock
	View
	PlanList
	PlanProbe
	PlanProbed
	PlanChange
	PlanReport
	PlanForwarder
	Unlisted // a call into the module
	Watch    // asked for by it
)

func intColumns(names ...string) (all []format.Column) {
	for _, n := range names {
		all = append(all, format.Column{Name: n, Type: format.Int, Mark: format.Plain})
	}
	return all
}

func textColumn(name string, m format.Privacy) []format.Column {
	return []format.Column{{Name: name, Type: format.Text, Mark: m}}
}

func eventKind(name string, columns ...[]format.Column) format.Kind {
	k := format.Kind{Name: name}
	for _, c := range columns {
		k.Columns = append(k.Columns, c...)
	}
	return k
}

// Schema is of all files that are written here. Commands and hosts have numbers; times are in tenths of a
// millisecond, sizes and shares in the bits of a float, work and lateness in thousandths.
var Schema = format.Schema{
	Host:      eventKind("host", intColumns("host", "set"), textColumn("name", format.Topology)),
	Listed:    eventKind("listed", intColumns("host", "standing", "leader", "size", "boot"), textColumn("zone", format.Topology), textColumn("model", format.Plain)),
	ListDone:  eventKind("list_done", intColumns("whole")),
	Take:      eventKind("take", intColumns("command", "group", "set", "timeout", "since", "again"), textColumn("id", format.Identity), textColumn("session", format.Identity)),
	Ended:     eventKind("ended", intColumns("command", "outcome", "position", "role", "took", "over")),
	Left:      eventKind("left", intColumns("command")),
	Reported:  eventKind("reported", intColumns("host", "position", "role")),
	Probed:    eventKind("probed", intColumns("host", "ok")),
	Heard:     eventKind("heard", textColumn("body", format.FreeText)),
	Woke:      eventKind("woke"),
	Told:      eventKind("told", intColumns("host", "position", "role", "role_at", "late")),
	Count:     eventKind("count", intColumns("routers", "blind")),
	Anew:      eventKind("anew"),
	Dispatch:  eventKind("dispatch", intColumns("command", "host", "timeout", "send_by", "for", "work")),
	Throttle:  eventKind("throttle", intColumns("command", "comeback")),
	Fail:      eventKind("fail", intColumns("command")),
	Probe:     eventKind("probe", intColumns("host")),
	Close:     eventKind("close", intColumns("host")),
	Forget:    eventKind("forget", intColumns("host")),
	Tell:      eventKind("tell", textColumn("body", format.FreeText)),
	Wake:      eventKind("wake", intColumns("after")),
	Candidate: eventKind("candidate", intColumns("command", "host", "standing", "role", "position", "out", "late", "share", "state")),
	List:      eventKind("list", intColumns("revision", "whole", "entries")),
	Stall:     eventKind("stall", intColumns("span")),
	Reload:    eventKind("reload", intColumns("ok")),
	Clock:     eventKind("clock", intColumns("system")),
	View:      eventKind("view", intColumns("hosts", "dropped", "routers", "blind")),

	PlanList:      eventKind("plan_list", intColumns("revision", "whole", "entries", "held")),
	PlanProbe:     eventKind("plan_probe", textColumn("name", format.Topology)),
	PlanProbed:    eventKind("plan_probed", intColumns("ok", "position", "role", "took"), textColumn("name", format.Topology)),
	PlanChange:    eventKind("plan_change", intColumns("seq", "hosts", "dropped", "routers", "every", "whole", "links")),
	PlanReport:    eventKind("plan_report", intColumns("entries", "answers", "cold"), textColumn("forwarder", format.Topology)),
	PlanForwarder: eventKind("plan_forwarder", intColumns("open", "life"), textColumn("forwarder", format.Topology), textColumn("why", format.FreeText)),

	Unlisted: eventKind("unlisted"),
	Watch:    eventKind("watch"),
}

// Sink takes blocks and gives empty ones; neither waits.
type Sink interface {
	// Put takes a block that is full, or not at all.
	Put(b *format.Block) bool
	// Get gives an empty block, or nil while all are on their way.
	Get() *format.Block
}

// Recorder records one router. A nil one records nothing.
type Recorder struct {
	sink            Sink
	block           *format.Block
	blockBytes      int
	unreportedLost  uint64
	now             int64
	hosts           map[*policy.Node]int64
	commands        map[*policy.Cmd]int64
	lastCommand     int64 // command
	lastHost        int64
	sampledPerMille uint32 // of sessions that are recorded, in thousandths
	key             [32]byte
	withCandidates  bool
	nextClockAt     int64
	pendingCommand  int64 // the command that Take was called for, whose handle is not known yet

	RecordedEvents, LostEvents uint64
}

// New records into blocks of about size bytes. part is how many sessions in a thousand are recorded, chosen by a
// keyed hash; with less than all, no replay is possible. detail: the candidates of each dispatch too.
func New(sink Sink, size int, part uint32, key [32]byte, detail bool) *Recorder {
	return &Recorder{sink: sink, blockBytes: size, sampledPerMille: part, key: key, withCandidates: detail, hosts: map[*policy.Node]int64{},
		commands: map[*policy.Cmd]int64{}}
}

// Deployment is a deployment's form in a header, from which a replay makes it again.
func Deployment(d policy.Deployment) ([]byte, error) { return cbor.Marshal(d) }

// Groups is the form of command groups' names in a header, by number.
func Groups(names []string) ([]byte, error) { return cbor.Marshal(names) }

// ReadDeployment reads it back.
func ReadDeployment(b []byte) (d policy.Deployment, err error) {
	if err := cbor.Unmarshal(b, &d); err != nil {
		return d, fmt.Errorf("the deployment: %w", err)
	}
	for i, g := range d.Groups {
		if g == nil {
			return d, fmt.Errorf("the deployment: group %d is missing", i)
		}
	}
	return d, nil
}

// Now tells the moment of the events that follow, as the module was told it.
func (r *Recorder) Now(now policy.Tenth) {
	if r == nil {
		return
	}
	r.now = now
}

// System notes a reading of the system's clock beside the module's, now and then.
func (r *Recorder) System(reading int64) {
	if r != nil && r.now >= r.nextClockAt {
		r.nextClockAt = r.now + 10000
		r.addNumbers(Clock, reading)
	}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// addNumbers adds an event of numbers.
func (r *Recorder) addNumbers(kind int, ints ...int64) { r.addEvent(kind, ints, nil) }

func (r *Recorder) addEvent(kind int, ints []int64, texts []string) {
	if r.block == nil {
		if r.block = r.sink.Get(); r.block == nil {
			r.unreportedLost++
			r.LostEvents++
			return
		}
		r.block.Lost(r.unreportedLost)
		r.unreportedLost = 0
	}
	r.block.Add(r.now, kind, ints, texts)
	if r.RecordedEvents++; r.block.Full(r.blockBytes) {
		r.Flush()
	}
}

// Flush hands over what was gathered.
func (r *Recorder) Flush() {
	if r == nil || r.block == nil || r.block.Len() == 0 {
		return
	}
	if n := uint64(r.block.Len()); !r.sink.Put(r.block) {
		r.unreportedLost += n
		r.LostEvents += n
		r.block.Reset()
		r.block.Lost(r.unreportedLost)
		r.unreportedLost = 0
		return
	}
	r.block = nil
}

// Host, and what follows up to Anew, are the calls into the module, recorded before they are made.
func (r *Recorder) Host(n *policy.Node, set int64) {
	if r == nil {
		return
	}
	r.lastHost++
	r.hosts[n] = r.lastHost
	r.addEvent(Host, []int64{r.hosts[n], set}, []string{n.Name})
}

func (r *Recorder) Listed(n *policy.Node, standing policy.Standing, leader bool, zone, model string, size float64, boot policy.Tenth) {
	if r != nil {
		r.addEvent(Listed, []int64{r.hosts[n], int64(standing), flag(leader), int64(math.Float64bits(size)), boot}, []string{zone, model})
	}
}

func (r *Recorder) ListDone(whole bool) {
	if r != nil {
		r.addNumbers(ListDone, flag(whole))
	}
}

func (r *Recorder) Unlisted() {
	if r != nil {
		r.addNumbers(Unlisted)
	}
}

// sampled says whether a session is recorded.
func (r *Recorder) sampled(session string) bool {
	if r.sampledPerMille >= 1000 {
		return true
	}
	h, err := blake3.NewKeyed(r.key[:])
	if err != nil {
		panic(err) // the size is in its type
	}
	h.WriteString(session)
	sum := h.Sum(nil)
	return (uint32(sum[0])|uint32(sum[1])<<8|uint32(sum[2])<<16)%1000 < r.sampledPerMille
}

// Take is called before the module's, and Taken with the handle that it gave; what the module asks for in between
// is of that command.
func (r *Recorder) Take(id string, group int, set int64, session string, timeout, since policy.Tenth, again bool) {
	if r == nil {
		return
	}
	if !r.sampled(session) {
		r.pendingCommand = -1
		return
	}
	r.lastCommand++
	r.pendingCommand = r.lastCommand
	r.addEvent(Take, []int64{r.pendingCommand, int64(group), set, timeout, since, flag(again)}, []string{id, session})
}

func (r *Recorder) Taken(c *policy.Cmd) {
	if r == nil {
		return
	}
	if r.pendingCommand >= 0 && !c.Over() {
		r.commands[c] = r.pendingCommand
	}
	r.pendingCommand = 0
}

// commandNumber is a command's number; 0: it is not recorded.
func (r *Recorder) commandNumber(c *policy.Cmd) int64 {
	if n, known := r.commands[c]; known {
		return n
	}
	return max(0, r.pendingCommand)
}

func (r *Recorder) Ended(c *policy.Cmd, o policy.Outcome, pos policy.Tenth, role policy.Role, took policy.Tenth, over bool) {
	if r == nil {
		return
	}
	if n := r.commandNumber(c); n != 0 {
		r.addNumbers(Ended, n, int64(o), pos, int64(role), took, flag(over))
	}
}

// Settled says that nothing more comes for a command.
func (r *Recorder) Settled(c *policy.Cmd) {
	if r != nil {
		delete(r.commands, c)
	}
}

func (r *Recorder) Left(c *policy.Cmd) {
	if r == nil {
		return
	}
	if n := r.commandNumber(c); n != 0 {
		r.addNumbers(Left, n)
	}
}

func (r *Recorder) Reported(n *policy.Node, pos policy.Tenth, role policy.Role) {
	if r != nil {
		r.addNumbers(Reported, r.hosts[n], pos, int64(role))
	}
}

func (r *Recorder) Probed(n *policy.Node, ok bool) {
	if r != nil {
		r.addNumbers(Probed, r.hosts[n], flag(ok))
	}
}

func (r *Recorder) Heard(body string) {
	if r != nil {
		r.addEvent(Heard, nil, []string{body})
	}
}

func (r *Recorder) Woke() {
	if r != nil {
		r.addNumbers(Woke)
	}
}

func (r *Recorder) Told(n *policy.Node, pos policy.Tenth, role policy.Role, at, late policy.Tenth) {
	if r != nil {
		r.addNumbers(Told, r.hosts[n], pos, int64(role), at, late)
	}
}

func (r *Recorder) Count(routers int, blind bool) {
	if r != nil {
		r.addNumbers(Count, int64(routers), flag(blind))
	}
}

// Anew says that a new module has taken the place of one that panicked; hosts follow.
func (r *Recorder) Anew() {
	if r != nil {
		clear(r.commands)
		r.addNumbers(Anew)
	}
}

// Dispatch, and what follows up to Wake, are what the module asked for.
func (r *Recorder) Dispatch(c *policy.Cmd, n *policy.Node, timeout policy.Tenth) {
	if r == nil {
		return
	}
	number := r.commandNumber(c)
	if number == 0 {
		return
	}
	if r.withCandidates {
		c.Members(func(m *policy.Node, s policy.Seen) {
			r.addNumbers(Candidate, number, r.hosts[m], int64(s.Standing), int64(s.Role), s.Position, int64(s.Out), int64(s.Late*1000),
				int64(s.Share*1000), s.State)
		})
	}
	r.addNumbers(Dispatch, number, r.hosts[n], timeout, c.SendBy, c.SentFor(), int64(c.Work()*1000))
}

func (r *Recorder) Throttle(c *policy.Cmd, comeback policy.Tenth) {
	if r == nil {
		return
	}
	if n := r.commandNumber(c); n != 0 {
		r.addNumbers(Throttle, n, comeback)
	}
}

func (r *Recorder) Fail(c *policy.Cmd) {
	if r == nil {
		return
	}
	if n := r.commandNumber(c); n != 0 {
		r.addNumbers(Fail, n)
	}
}

func (r *Recorder) Probe(n *policy.Node) {
	if r != nil {
		r.addNumbers(Probe, r.hosts[n])
	}
}

func (r *Recorder) Close(n *policy.Node) {
	if r != nil {
		r.addNumbers(Close, r.hosts[n])
	}
}

func (r *Recorder) Forget(n *policy.Node) {
	if r != nil {
		r.addNumbers(Forget, r.hosts[n])
		delete(r.hosts, n)
	}
}

func (r *Recorder) Tell(body string) {
	if r != nil {
		r.addEvent(Tell, nil, []string{body})
	}
}

func (r *Recorder) Wake(after policy.Tenth) {
	if r != nil {
		r.addNumbers(Wake, after)
	}
}

func (r *Recorder) Watch() {
	if r != nil {
		r.addNumbers(Watch)
	}
}

// List, Stall, Reload and View are beside the module.
func (r *Recorder) List(revision int64, whole bool, entries int) {
	if r != nil {
		r.addNumbers(List, revision, flag(whole), int64(entries))
	}
}

func (r *Recorder) Stall(span policy.Tenth) {
	if r != nil {
		r.addNumbers(Stall, span)
	}
}

func (r *Recorder) Reload(ok bool) {
	if r != nil {
		r.addNumbers(Reload, flag(ok))
	}
}

func (r *Recorder) View(hosts, dropped, routers int, blind bool) {
	if r != nil {
		r.addNumbers(View, int64(hosts), int64(dropped), int64(routers), flag(blind))
	}
}
