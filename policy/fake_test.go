package policy

import "testing"

// fake is the tiny caller that all stories share. It notes what it is asked.
type fake struct {
	t      *testing.T
	r      *Router
	at     Tenth
	sent   []*Node
	final  map[*Cmd]string
	back   Tenth
	limit  Tenth // of the last dispatch
	calls  int
	probes []*Node
	closed []*Node
	told   []string
	nodes  []*Node

	forgotten []*Node
	watches   []Tenth
}

func (f *fake) Dispatch(c *Cmd, n *Node, limit Tenth) {
	f.limit = limit
	if f.final[c] != "" {
		f.t.Errorf("%s: dispatched after its final answer", c.Name)
	}
	f.sent = append(f.sent, n)
}
func (f *fake) Throttle(c *Cmd, back Tenth) { f.back = back; f.end(c, "throttled") }
func (f *fake) Fail(c *Cmd)                 { f.end(c, "failed") }
func (f *fake) Probe(n *Node)               { f.probes = append(f.probes, n) }
func (f *fake) Close(n *Node)               { f.closed = append(f.closed, n) }
func (f *fake) Forget(n *Node)              { f.forgotten = append(f.forgotten, n) }
func (f *fake) Tell(body string)            { f.told = append(f.told, body) }
func (f *fake) Wake(Tenth)                  {}
func (f *fake) Watch()                      { f.watches = append(f.watches, f.at) }

func (f *fake) end(c *Cmd, how string) {
	if f.final[c] != "" {
		f.t.Errorf("%s: %s after it was %s", c.Name, how, f.final[c])
	}
	f.final[c] = how
}

// The command groups of the stories.
var (
	list  = CmdGroup{Need: Bounded, Bound: 5000, Target: 3000, Timeout: 8000, Benefit: 1}
	own   = CmdGroup{Need: Session, Target: 3000, Timeout: 8000, Benefit: 1}
	fresh = CmdGroup{Need: Fresh, Target: 3000, Timeout: 8000, Benefit: 1}
	keyed = CmdGroup{
		Effect: Keyed, Need: Write, Target: 5000, Timeout: 30000, Memory: 20000, Benefit: 3,
		LateShare: 0.5,
	}
	order = CmdGroup{Effect: Mutating, Need: Write, Target: 5000, Timeout: 30000, Benefit: 3, LateShare: 0.5}
)

// start makes a router with hosts a (primary), b, c... whose positions are known.
func start(t *testing.T, hosts int, change func(*Deployment)) *fake {
	f := &fake{t: t, at: 1000000, final: map[*Cmd]string{}}
	l, o, fr, k, m := list, own, fresh, keyed, order
	d := Deployment{
		Tick: 50, Routers: 1, Dispatches: 8, Probes: true, Reports: true, Comeback: 10000, Streams: 1,
		IdleFor: 150000, ConnectFor: 2500,
		FallFactor: 2, FallSpan: 10000, ColdFrom: 0.2, ColdFor: 150000, Groups: []*CmdGroup{&l, &o, &fr, &k, &m},
	}
	if change != nil {
		change(&d)
	}
	f.r = New(f, d, f.at)
	for i := range hosts {
		n := f.r.Host(string(rune('a'+i)), 1)
		n.Listed(In, i == 0, "", "", 1, 0)
		f.nodes = append(f.nodes, n)
	}
	f.r.ListDone(true)
	for _, n := range f.nodes {
		n.Probed(true)
		n.Reported(f.at, Replica)
	}
	f.nodes[0].updateRole(Primary, f.at)
	f.nodes[0].lateness = lateRatio * 0.9 // nothing spills to the primary
	return f
}

func (f *fake) wait(t Tenth) {
	for end := f.at + t; f.at < end; {
		f.at += 100
		f.r.Clock(f.at)
		f.r.Woke()
	}
}

// take brings a command of the group that has the need and effect.
func (f *fake) take(need Need, effect Effect, session string, since Tenth) *Cmd {
	for _, g := range f.r.Groups {
		if g.Need == need && g.Effect == effect {
			f.calls++
			return f.r.Take(string(rune('0'+f.calls)), g, 1, session, f.at+g.Timeout, since, false)
		}
	}
	panic("no such command group")
}

// answer ends a command well, after some time.
func (f *fake) answer(c *Cmd, after Tenth) {
	f.wait(after)
	role := Replica
	if c.Node == c.set.primary {
		role = Primary
	}
	c.Ended(Answered, f.at-20, role, after, true)
}

// never tells what must not have come about.
func (f *fake) never(bad bool, say string) {
	if f.t.Helper(); bad {
		f.t.Error(say)
	}
}

// answers takes bounded reads and answers them, all positions known.
func (f *fake) answers(many int, after Tenth) {
	for range many {
		if c := f.take(Bounded, Replayable, "", 0); c.Node != nil {
			f.answer(c, after)
		}
		f.fresh()
	}
}

func (f *fake) fresh() {
	for _, n := range f.nodes {
		n.updatePosition(f.at)
	}
}

// takeUntil takes bounded reads until one is sent to the host; the others are answered.
func (f *fake) takeUntil(n *Node) *Cmd {
	for range 50 {
		c := f.take(Bounded, Replayable, "", 0)
		if c.Node == n {
			return c
		} else if c.Node != nil {
			f.answer(c, 100)
		}
		f.fresh()
	}
	panic("nothing went there")
}

func (f *fake) count(n *Node) (sent int) {
	for _, m := range f.sent {
		if m == n {
			sent++
		}
	}
	return sent
}
