package rules

import "testing"

// errs has hosts answer reads, each in the same time, and those of bad err.
func errs(f *fake, many int, bad func(n *Node, turn int) bool) {
	for i := range many {
		c := f.take(Bounded, Replayable, "", 0)
		for c.Node != nil {
			f.wait(100)
			if n := c.Node; bad(n, i) {
				c.Ended(Errored, -1, Replica, 100, false)
			} else {
				c.Ended(Answered, f.at-20, Replica, 100, true)
			}
			f.fresh()
		}
	}
}

func TestAHostThatFailsFastDoesNotDrawWhatOthersWouldAnswer(t *testing.T) {
	f := start(t, 4, func(d *Deployment) { d.Routers = 50 }) // chance decides among like ones
	b := f.nodes[1]
	errs(f, 200, func(n *Node, turn int) bool { return n == b && turn%5 != 0 })
	before := f.count(b)
	errs(f, 200, func(n *Node, turn int) bool { return n == b && turn%5 != 0 })
	if sent := f.count(b) - before; sent > 20 {
		t.Errorf("%d of 200 reads go to a host that errs", sent)
	}
	f.wait(60 * second) // errors fade, so that it is tried again
	before = f.count(b)
	errs(f, 200, func(*Node, int) bool { return false })
	if sent := f.count(b) - before; sent < 40 {
		t.Errorf("%d of 200 once it answers", sent)
	}
}

func TestCommandsThatErrEverywhereMoveNothing(t *testing.T) {
	f := start(t, 4, func(d *Deployment) { d.Routers = 50 }) // chance decides among like ones
	errs(f, 600, func(_ *Node, turn int) bool { return turn%2 == 0 })
	for _, n := range f.nodes[1:] {
		if sent := f.count(n); sent < len(f.sent)/5 || sent > len(f.sent)/2 {
			t.Errorf("%d of %d to %s", sent, len(f.sent), n.Name)
		}
	}
}

func TestWhatHostsThatErrAlwaysSayIsNotTheCommandsFault(t *testing.T) {
	f := start(t, 5, func(d *Deployment) { d.Routers = 50 })
	bad := func(n *Node, _ int) bool { return n == f.nodes[1] || n == f.nodes[2] }
	errs(f, 300, bad)
	for range 100 {
		f.nodes[3].cap, f.nodes[4].cap = 0, 0 // only those that err have room, at first
		c := f.take(Bounded, Replayable, "", 0)
		for range 2 {
			if c.Node != nil {
				f.wait(50)
				c.Ended(Errored, -1, Replica, 50, false)
			}
		}
		f.nodes[3].cap, f.nodes[4].cap = 4, 4
		f.wait(200)
		if c.Node != f.nodes[3] && c.Node != f.nodes[4] && f.final[c] != "" {
			t.Fatalf("%s after two hosts that err always", f.final[c])
		}
		if c.Node != nil {
			f.answer(c, 50)
		}
		f.fresh()
	}
}

func TestAHostThatRefusesAWriteIsNoPrimaryWhateverItSays(t *testing.T) {
	f := start(t, 3, nil)
	c := f.take(Write, Mutating, "s", 0)
	for range 3 {
		n := c.Node
		f.wait(100)
		c.Ended(Missed, -1, Primary, 100, false)
		f.wait(300)
		if c.Node == n {
			t.Fatalf("asked again: %s", n.Name)
		}
		if c.Node == nil {
			break
		}
	}
}
