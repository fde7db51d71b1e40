package policy

import (
	"fmt"
	"testing"
)

// Two routers with the same seed meet the same day, and only one of them watches another shape.
func TestWatchingChangesNoDecision(t *testing.T) {
	day := func(watch bool) (sent string, apart int) {
		f := start(t, 4, func(d *Deployment) { d.Routers, d.ProbePrice = 120, 0.02 })
		next := f.r.Deployment
		groups := make([]*CmdGroup, len(next.Groups))
		for i, g := range next.Groups {
			copied := *g
			groups[i] = &copied
		}
		groups[0].Need = Any
		next.Groups, next.Guarded, next.Comeback = groups, true, 0
		shape := NewShape(next, f.at)
		for i := range 300 {
			which := []int{0, 1, 4}[i%3]
			g, would, there := f.r.Groups[which], Held, (*Node)(nil)
			if watch {
				would, there = f.r.Preview(shape, groups[which], g, 1, "s", f.at+g.Timeout, 900, false)
			}
			c := f.r.Take(fmt.Sprint(i), g, 1, "s", f.at+g.Timeout, 900, false)
			if is, to := c.Course(); is != would || to != there {
				apart++
			}
			if c.Node != nil && i%5 > 0 {
				f.answer(c, Tenth(200+i%7*100))
			} else {
				f.wait(300)
			}
			for _, n := range f.probes {
				n.Reported(f.at-2000, Replica)
				n.Probed(true)
			}
			f.probes = nil
		}
		for _, n := range f.sent {
			sent += n.Name
		}
		return sent + fmt.Sprint(len(f.final), f.r.probeCredit, f.r.randomDraws), apart
	}
	as, _ := day(false)
	watched, apart := day(true)
	if as != watched {
		t.Errorf("watching changed what was decided:\n%s\n%s", as, watched)
	}
	if apart < 20 {
		t.Errorf("only %d of 300 commands would have fared otherwise", apart)
	}
}

func BenchmarkPreview(b *testing.B) {
	f := start(&testing.T{}, 6, nil)
	shape := NewShape(f.r.Deployment, f.at)
	g := f.r.Groups[1]
	for b.Loop() {
		f.r.Preview(shape, g, g, 1, "s", f.at+g.Timeout, 900, false)
	}
}
