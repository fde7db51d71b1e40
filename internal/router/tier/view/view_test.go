package view

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"ferrypitch/policy"
)

const ahead = 1000

var names = rapid.SampledFrom([]string{"a", "b", "c", "d"})

// lists draws a view made of lists alone, of which each planner may have any.
func lists(t *rapid.T, name string) *View {
	v := &View{}
	for range rapid.IntRange(0, 5).Draw(t, name) {
		var entries []Host
		for range rapid.IntRange(0, 4).Draw(t, "entries") {
			entries = append(entries, Host{Name: names.Draw(t, "host"),
				Address: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"), Set: int64(rapid.IntRange(0, 1).Draw(t, "set")),
				Standing: policy.Standing(rapid.IntRange(0, 2).Draw(t, "standing")), Boot: int64(rapid.IntRange(0, 9).Draw(t, "boot"))})
		}
		v.List(Version{uint64(rapid.IntRange(0, 1).Draw(t, "gen")), int64(rapid.IntRange(0, 9).Draw(t, "rev"))},
			rapid.Bool().Draw(t, "whole"), entries)
		if rapid.Bool().Draw(t, "settle") {
			v.Compact()
		}
	}
	return v
}

// words draws a view of one list, with any words of its hosts.
func words(t *rapid.T, name string) *View {
	v := &View{}
	v.List(Version{Rev: 1}, true, []Host{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
	for range rapid.IntRange(0, 6).Draw(t, name) {
		v.Believe(Evidence{Name: names.Draw(t, "host"),
			Pos: int64(rapid.IntRange(0, 5).Draw(t, "pos")), Role: policy.Role(rapid.IntRange(0, 2).Draw(t, "role")),
			RoleAt: int64(rapid.IntRange(0, 5).Draw(t, "at")), Turn: uint32(rapid.IntRange(0, 2).Draw(t, "turn"))}, ahead)
	}
	return v
}

func joined(vs ...*View) *View {
	out := &View{}
	for _, v := range vs {
		out.Join(v, ahead)
	}
	return out
}

func TestAnyOrderAndRepeatOfJoinsEndsInTheSame(t *testing.T) {
	for _, some := range []func(*rapid.T, string) *View{lists, words} {
		rapid.Check(t, func(t *rapid.T) { anyOrder(t, some(t, "a"), some(t, "b"), some(t, "c")) })
	}
}

func anyOrder(t *rapid.T, a, b, c *View) {
	one := joined(a, b, c).Digest()
	for name, other := range map[string]*View{"commuted": joined(c, a, b), "associated": joined(a, joined(b, c)),
		"repeated": joined(a, b, a, c, c, b), "onto itself": joined(joined(a, b, c), joined(a, b, c))} {
		if other.Digest() != one {
			t.Fatalf("%s: %v, else %v", name, other.Hosts(), joined(a, b, c).Hosts())
		}
	}
}

func TestADrainBindsWhoeverSaysItAndAnOlderListLiftsNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		knows, old := &View{}, &View{}
		knows.List(Version{Rev: 40}, true, []Host{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}})
		knows.List(Version{Rev: 43}, false, []Host{{Name: "a", Address: "x", Standing: policy.Draining}})
		rev := rapid.Int64Range(1, 43).Draw(t, "rev")
		old.List(Version{Rev: rev}, rapid.Bool().Draw(t, "whole"), []Host{{Name: "a", Address: "x"}})
		for _, v := range []*View{joined(knows, old), joined(old, knows)} {
			if h, known := v.Host("a"); known && h.Standing == policy.In {
				t.Fatalf("in again by a list of version %d", rev)
			}
		}
	})
}

func TestAHostThatWentStaysGoneWhenAnHourOldPlannerComesBack(t *testing.T) {
	knows, old := &View{}, &View{}
	knows.List(Version{Rev: 10}, true, []Host{{Name: "a"}, {Name: "b"}})
	old.Join(knows, ahead)
	knows.List(Version{Rev: 11}, false, []Host{{Name: "b", Standing: policy.Gone}})
	knows.Compact() // its tombstone too
	v := joined(knows, old)
	if _, known := v.Host("b"); known || v.Len() != 1 {
		t.Errorf("%+v", v.Hosts())
	}
}

func TestARoleGoesByTheHostsOwnPositionNotByWhoeverIsLast(t *testing.T) {
	v := &View{}
	v.List(Version{Rev: 1}, true, []Host{{Name: "a"}, {Name: "b"}})
	v.Believe(Evidence{"b", 500, policy.Primary, 500, 0}, ahead)
	v.Believe(Evidence{"a", 400, policy.Primary, 400, 0}, ahead) // the old one's word, relayed late
	if p, _ := v.Primary(0); p != "b" {
		t.Errorf("the primary is %q", p)
	}
	if v.Believe(Evidence{"a", ahead + 1, policy.Primary, ahead + 1, 0}, ahead) {
		t.Error("a position of the future is believed")
	}
	v.Believe(Evidence{"b", 500, policy.Replica, 500, 1}, ahead) // it stepped down where it stood
	v.Believe(Evidence{"b", 500, policy.Primary, 500, 0}, ahead)
	if p, next := v.Primary(0); p != "a" || next != "b" {
		t.Errorf("the primary is %q, next %q", p, next)
	}
}

func TestAnAnswerThatComesLateTurnsNoRole(t *testing.T) {
	e := Evidence{Name: "a"}
	e.Said(7, policy.Replica, true)
	if e.Said(7, policy.Primary, false) || e.Role != policy.Replica {
		t.Errorf("%+v", e)
	}
	if !e.Said(7, policy.Primary, true) || e.Role != policy.Primary || e.Turn != 1 {
		t.Errorf("%+v", e)
	}
}

// feed is a planner's view with its numbered changes.
func feed(n int) (first Change, all []Change, v *View) {
	v = &View{}
	v.List(Version{Rev: 1}, true, []Host{{Name: "a"}, {Name: "b"}})
	v.TakeChanges(1, 0)
	first = v.Whole(1, 0)
	for i := range n {
		v.Believe(Evidence{Name: string(rune('a' + i%2)), Pos: int64(10 + i)}, ahead) // in turn, so that a gap shows
		all = append(all, v.TakeChanges(1, uint64(i+1)))
	}
	return first, all, v
}

func TestDoubledAndReorderedChangesNeverSkip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, all, v := feed(5)
		c := Replica{}
		if _, err := c.Apply(first); err != nil {
			t.Fatal(err)
		}
		for range 12 {
			ch := rapid.SampledFrom(all).Draw(t, "change")
			before := c.Sequence()
			if _, err := c.Apply(ch); err != nil {
				if !errors.Is(err, ErrGap) || ch.Seq == before+1 {
					t.Fatalf("%d after %d: %v", ch.Seq, before, err)
				}
				c.Apply(first)
			}
			a, _ := c.Host("a")
			b, _ := c.Host("b")
			if at := int64(c.Sequence()); at > 0 && max(a.Pos, b.Pos) != 9+at || at > 1 && min(a.Pos, b.Pos) != 8+at {
				t.Fatalf("at %d the positions are %d and %d", at, a.Pos, b.Pos)
			}
		}
		if c.Apply(v.Whole(1, 5)); c.Digest() != v.Digest() {
			t.Fatal("the copy differs after a whole view")
		}
	})
}

func TestAPlannerThatRestartedOrAChangeCutShortLeadsToAWholeView(t *testing.T) {
	first, all, v := feed(2)
	c := Replica{}
	c.Apply(first)
	cut := all[0]
	cut.Hosts = nil
	if _, err := c.Apply(cut); !errors.Is(err, ErrDigestMismatch) || c.Complete() {
		t.Errorf("a change without its hosts: %v", err)
	}
	if _, err := c.Apply(all[1]); !errors.Is(err, ErrGap) {
		t.Errorf("the next one: %v", err)
	}
	c.Apply(v.Whole(1, 2))
	if _, err := c.Apply(Change{Life: 2, Seq: 3}); !errors.Is(err, ErrRestarted) || c.Complete() {
		t.Errorf("another life's change: %v", err)
	}
	if fresh, err := c.Apply(v.Whole(2, 0)); !fresh || err != nil || !c.Complete() {
		t.Errorf("its whole view: %v", err)
	}
}
