// Package replay drives the decision module with the events of a trace, in
// virtual time, and holds what the module asks for against what was recorded.
// On a trace of the same build it is exact; with another module it says where
// decisions part. It has no clock and no files.
package replay

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/policy"
)

// ErrIncomplete tells of a trace that can't be driven: of some sessions only, or not from the router's start.
var ErrIncomplete = errors.New("not the whole of a router's life from its start")

// Difference is where the module does otherwise than was recorded.
type Difference struct {
	Event    int64 // of the trace, from 0
	At       int64
	Call     string // into the module
	Recorded string // what it asked for then; empty: nothing
	Now      string
}

func (d Difference) String() string {
	return fmt.Sprintf("event %d at %d, after %s: recorded %q, now %q", d.Event, d.At, d.Call, d.Recorded, d.Now)
}

// Replay is a module and what it was told.
type Replay struct {
	maxDifferences int
	deployment     policy.Deployment
	module         *policy.Router
	hosts          map[int64]*policy.Node
	hostNumbers    map[*policy.Node]int64
	commands       map[int64]*policy.Cmd
	commandNumbers map[*policy.Cmd]int64
	pendingCommand int64
	withCandidates bool // candidates were recorded too
	now            int64
	started        bool

	replayed    []string // what the module asked for since the last call
	recorded    []string
	lastCall    string
	lastCallAt  int64
	eventNumber int64

	Calls, Asked, Apart int64
	Differences         []Difference // the first few
}

// New replays from a header; most is how many differences are kept.
func New(h format.Header, most int) (*Replay, error) {
	if h.Part != 1000 {
		return nil, fmt.Errorf("%w: %.1f %% of sessions were recorded", ErrIncomplete, float64(h.Part)/10)
	}
	for i, k := range record.Schema[:record.View+1] { // what came later is beside the module
		if i >= len(h.Schema) || h.Schema[i].Name != k.Name || len(h.Schema[i].Columns) != len(k.Columns) {
			return nil, fmt.Errorf("%w: kind %q is otherwise than here", format.ErrNotTrace, k.Name)
		}
	}
	d, err := record.ReadDeployment(h.More["deployment"])
	if err != nil {
		return nil, err
	}
	return &Replay{maxDifferences: most, deployment: d, hosts: map[int64]*policy.Node{}, hostNumbers: map[*policy.Node]int64{},
		commands: map[int64]*policy.Cmd{}, commandNumbers: map[*policy.Cmd]int64{}}, nil
}

func (r *Replay) startModule(now int64) {
	r.now = now
	r.module = policy.New(r, r.deployment, now)
}

// Lost tells that events are missing before the next; nothing after them can be held against anything.
func (r *Replay) Lost(n uint64) error {
	if n > 0 {
		return fmt.Errorf("%w: %d events were lost in capture before event %d", ErrIncomplete, n, r.eventNumber)
	}
	return nil
}

// Event takes the next event of the trace.
func (r *Replay) Event(e format.Event) error {
	defer func() { r.eventNumber++ }()
	if !r.started {
		r.started, r.lastCall = true, "start"
		r.startModule(e.At)
	}
	if e.Kind > record.View && e.Kind < record.Unlisted {
		return nil
	}
	switch e.Kind {
	case record.List, record.Stall, record.Reload, record.Clock, record.View:
		return nil
	case record.Candidate:
		r.withCandidates = true
		fallthrough
	case record.Dispatch, record.Throttle, record.Fail, record.Probe, record.Close, record.Forget, record.Tell, record.Wake, record.Watch:
		r.recorded = append(r.recorded, r.describe(e))
		return nil
	case record.Host:
		// Introducing a host asks for nothing, and is recorded after the call.
		r.module.Clock(e.At)
		n := r.module.Host(e.Texts[0], e.Ints[1])
		r.hosts[e.Ints[0]], r.hostNumbers[n] = n, e.Ints[0]
		return nil
	}
	r.compare()
	r.Calls++
	r.lastCall, r.lastCallAt = record.Schema[e.Kind].Name, e.At
	r.now = e.At
	if e.Kind == record.Anew {
		clear(r.commands)
		clear(r.commandNumbers)
		clear(r.hostNumbers)
		r.startModule(e.At)
		return nil
	}
	r.module.Clock(e.At)
	return r.call(e)
}

// call makes one call into the module.
func (r *Replay) call(e format.Event) error {
	v := e.Ints
	var n *policy.Node
	var c *policy.Cmd
	switch e.Kind {
	case record.Listed, record.Reported, record.Probed, record.Told:
		if n = r.hosts[v[0]]; n == nil {
			return fmt.Errorf("%w: event %d is of a host that was never introduced", ErrIncomplete, r.eventNumber)
		}
	case record.Ended, record.Left:
		if c = r.commands[v[0]]; c == nil {
			return fmt.Errorf("%w: event %d is of a command that was never taken", ErrIncomplete, r.eventNumber)
		}
	}
	switch e.Kind {
	case record.Listed:
		n.Listed(policy.Standing(v[1]), v[2] == 1, e.Texts[0], e.Texts[1], math.Float64frombits(uint64(v[3])), v[4])
	case record.ListDone:
		r.module.ListDone(v[0] == 1)
	case record.Take:
		if v[1] < 0 || v[1] >= int64(len(r.deployment.Groups)) {
			return fmt.Errorf("event %d: command group %d of %d", r.eventNumber, v[1], len(r.deployment.Groups))
		}
		r.pendingCommand = v[0]
		c := r.module.Take(e.Texts[0], r.deployment.Groups[v[1]], v[2], e.Texts[1], v[3], v[4], v[5] == 1)
		if r.pendingCommand = 0; !c.Over() {
			r.commands[v[0]], r.commandNumbers[c] = c, v[0]
		}
	case record.Ended:
		c.Ended(policy.Outcome(v[1]), v[2], policy.Role(v[3]), v[4], v[5] == 1)
		r.forget(v[0], c)
	case record.Left:
		c.Left()
		r.forget(v[0], c)
	case record.Reported:
		n.Reported(v[1], policy.Role(v[2]))
	case record.Probed:
		n.Probed(v[1] == 1)
	case record.Heard:
		r.module.Heard(e.Texts[0])
	case record.Unlisted:
		r.module.Unlisted()
	case record.Woke:
		r.module.Woke()
	case record.Told:
		n.Told(v[1], policy.Role(v[2]), v[3], v[4])
	case record.Count:
		r.module.Count(int(v[0]), v[1] == 1)
	}
	return nil
}

func (r *Replay) forget(number int64, c *policy.Cmd) {
	if c.Over() {
		delete(r.commands, number)
		delete(r.commandNumbers, c)
	}
}

// End settles the last call, unless the trace breaks off and may lack what that asked for.
func (r *Replay) End(whole bool) {
	if r.started && whole {
		r.compare()
	}
}

// compare holds what the last call asked for against what was recorded.
func (r *Replay) compare() {
	if !r.withCandidates { // candidates were not recorded, or none of this life was sent yet
		r.replayed = slices.DeleteFunc(r.replayed, func(s string) bool { return strings.HasPrefix(s, "candidate ") })
	}
	for i := range max(len(r.replayed), len(r.recorded)) {
		got, want := "", ""
		if i < len(r.replayed) {
			got = r.replayed[i]
		}
		if i < len(r.recorded) {
			want = r.recorded[i]
		}
		if r.Asked++; got != want {
			if r.Apart++; len(r.Differences) < r.maxDifferences {
				r.Differences = append(r.Differences, Difference{r.eventNumber, r.lastCallAt, r.lastCall, want, got})
			}
		}
	}
	r.replayed, r.recorded = r.replayed[:0], r.recorded[:0]
}

// describe is what a recorded event says, in the words of the calls below.
func (r *Replay) describe(e format.Event) string {
	v := e.Ints
	switch e.Kind {
	case record.Dispatch:
		return fmt.Sprintf("dispatch %d to %d, timeout %d, by %d, for %d", v[0], v[1], v[2], v[3], v[4])
	case record.Throttle:
		return fmt.Sprintf("throttle %d, back after %d", v[0], v[1])
	case record.Fail:
		return fmt.Sprintf("fail %d", v[0])
	case record.Candidate:
		return fmt.Sprintf("candidate %d: host %d, standing %d, role %d, position %d, out %d, late %d, share %d, state %d",
			v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7], v[8])
	case record.Tell:
		return "tell " + e.Texts[0]
	case record.Watch:
		return "watch"
	}
	return fmt.Sprintf("%s %d", record.Schema[e.Kind].Name, v[0])
}

func (r *Replay) commandNumber(c *policy.Cmd) int64 {
	if n, known := r.commandNumbers[c]; known {
		return n
	}
	return r.pendingCommand
}

func (r *Replay) addReplayed(format string, args ...any) {
	r.replayed = append(r.replayed, fmt.Sprintf(format, args...))
}

// Dispatch and the rest are what the module asks for.
func (r *Replay) Dispatch(c *policy.Cmd, n *policy.Node, timeout policy.Tenth) {
	c.Members(func(m *policy.Node, s policy.Seen) {
		r.addReplayed("candidate %d: host %d, standing %d, role %d, position %d, out %d, late %d, share %d, state %d", r.commandNumber(c), r.hostNumbers[m],
			s.Standing, s.Role, s.Position, s.Out, int64(s.Late*1000), int64(s.Share*1000), s.State)
	})
	r.addReplayed("dispatch %d to %d, timeout %d, by %d, for %d", r.commandNumber(c), r.hostNumbers[n], timeout, c.SendBy, c.SentFor())
}
func (r *Replay) Throttle(c *policy.Cmd, back policy.Tenth) {
	r.addReplayed("throttle %d, back after %d", r.commandNumber(c), back)
}
func (r *Replay) Fail(c *policy.Cmd)      { r.addReplayed("fail %d", r.commandNumber(c)) }
func (r *Replay) Probe(n *policy.Node)    { r.addReplayed("probe %d", r.hostNumbers[n]) }
func (r *Replay) Close(n *policy.Node)    { r.addReplayed("close %d", r.hostNumbers[n]) }
func (r *Replay) Watch()                  { r.addReplayed("watch") }
func (r *Replay) Tell(body string)        { r.addReplayed("tell %s", body) }
func (r *Replay) Wake(after policy.Tenth) { r.addReplayed("wake %d", after) }

func (r *Replay) Forget(n *policy.Node) {
	r.addReplayed("forget %d", r.hostNumbers[n])
	delete(r.hosts, r.hostNumbers[n])
	delete(r.hostNumbers, n)
}
