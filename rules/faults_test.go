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
