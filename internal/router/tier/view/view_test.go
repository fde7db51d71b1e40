package view

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"ferrypitch/policy"
)

const maxPosition = 1000

var names = rapid.SampledFrom([]string{"a", "b", "c", "d"})

// drawLists draws a view that has applied random lists and holds no evidence.
func drawLists(t *rapid.T, name string) *View {
	view := &View{}
	for range rapid.IntRange(0, 5).Draw(t, name) {
		var entries []Host
		for range rapid.IntRange(0, 4).Draw(t, "entries") {
			entries = append(entries, Host{
				Name:    names.Draw(t, "host"),
				Address: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"), Set: int64(rapid.IntRange(0, 1).Draw(t, "set")),
				ListedState: policy.ListState(rapid.IntRange(0, 2).Draw(t, "standing")), BootedAt: int64(rapid.IntRange(0, 9).Draw(t, "boot")),
			})
		}
		view.ApplyList(Version{uint64(rapid.IntRange(0, 1).Draw(t, "gen")), int64(rapid.IntRange(0, 9).Draw(t, "rev"))},
			rapid.Bool().Draw(t, "whole"), entries)
		if rapid.Bool().Draw(t, "settle") {
			view.Compact()
		}
	}
	return view
}

// drawEvidence draws a view of one fixed list with random evidence of its hosts.
func drawEvidence(t *rapid.T, name string) *View {
	view := &View{}
	view.ApplyList(Version{Revision: 1}, true, []Host{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
	for range rapid.IntRange(0, 6).Draw(t, name) {
		view.AddEvidence(Evidence{
			Name:     names.Draw(t, "host"),
			Position: int64(rapid.IntRange(0, 5).Draw(t, "pos")), Role: policy.Role(rapid.IntRange(0, 2).Draw(t, "role")),
			RolePosition: int64(rapid.IntRange(0, 5).Draw(t, "at")), RoleChanges: uint32(rapid.IntRange(0, 2).Draw(t, "turn")),
		}, maxPosition)
	}
	return view
}

func merged(views ...*View) *View {
	result := &View{}
	for _, view := range views {
		result.Merge(view, maxPosition)
	}
	return result
}

func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	for _, draw := range []func(*rapid.T, string) *View{drawLists, drawEvidence} {
		rapid.Check(t, func(t *rapid.T) { checkMerges(t, draw(t, "a"), draw(t, "b"), draw(t, "c")) })
	}
}

func checkMerges(t *rapid.T, a, b, c *View) {
	expected := merged(a, b, c).Digest()
	for name, other := range map[string]*View{
		"commuted": merged(c, a, b), "associated": merged(a, merged(b, c)),
		"repeated": merged(a, b, a, c, c, b), "onto itself": merged(merged(a, b, c), merged(a, b, c)),
	} {
		if other.Digest() != expected {
			t.Fatalf("%s: hosts are %v, expected %v", name, other.Hosts(), merged(a, b, c).Hosts())
		}
	}
}

func TestOlderListDoesNotEndADrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, old := &View{}, &View{}
		current.ApplyList(Version{Revision: 40}, true, []Host{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}})
		current.ApplyList(Version{Revision: 43}, false, []Host{{Name: "a", Address: "x", ListedState: policy.Draining}})
		revision := rapid.Int64Range(1, 43).Draw(t, "rev")
		old.ApplyList(Version{Revision: revision}, rapid.Bool().Draw(t, "whole"), []Host{{Name: "a", Address: "x"}})
		for _, view := range []*View{merged(current, old), merged(old, current)} {
			if host, known := view.Host("a"); known && host.ListedState == policy.Active {
				t.Fatalf("a list of revision %d makes a draining host active again", revision)
			}
		}
	})
}

func TestRemovedHostStaysRemovedWhenAnOldPlannerReturns(t *testing.T) {
	current, old := &View{}, &View{}
	current.ApplyList(Version{Revision: 10}, true, []Host{{Name: "a"}, {Name: "b"}})
	old.Merge(current, maxPosition)
	current.ApplyList(Version{Revision: 11}, false, []Host{{Name: "b", ListedState: policy.Removed}})
	current.Compact() // removes the tombstone of b
	view := merged(current, old)
	if _, known := view.Host("b"); known || view.Len() != 1 {
		t.Errorf("%+v", view.Hosts())
	}
}

func TestRoleIsOrderedByTheHostsPosition(t *testing.T) {
	view := &View{}
	view.ApplyList(Version{Revision: 1}, true, []Host{{Name: "a"}, {Name: "b"}})
	view.AddEvidence(Evidence{"b", 500, policy.Primary, 500, 0}, maxPosition)
	view.AddEvidence(Evidence{"a", 400, policy.Primary, 400, 0}, maxPosition) // the former primary's evidence, relayed late
	if p, _ := view.Primary(0); p != "b" {
		t.Errorf("the primary is %q", p)
	}
	if view.AddEvidence(Evidence{"a", maxPosition + 1, policy.Primary, maxPosition + 1, 0}, maxPosition) {
		t.Error("evidence with a position in the future is accepted")
	}
	view.AddEvidence(Evidence{"b", 500, policy.Replica, 500, 1}, maxPosition) // b steps down at the same position
	view.AddEvidence(Evidence{"b", 500, policy.Primary, 500, 0}, maxPosition)
	if p, furthest := view.Primary(0); p != "a" || furthest != "b" {
		t.Errorf("the primary is %q, the furthest host %q", p, furthest)
	}
}

func TestLateAnswerDoesNotChangeTheRole(t *testing.T) {
	evidence := Evidence{Name: "a"}
	evidence.Observe(7, policy.Replica, true)
	if evidence.Observe(7, policy.Primary, false) || evidence.Role != policy.Replica {
		t.Errorf("%+v", evidence)
	}
	if !evidence.Observe(7, policy.Primary, true) || evidence.Role != policy.Primary || evidence.RoleChanges != 1 {
		t.Errorf("%+v", evidence)
	}
}

// sequenceOf returns a full change, the n changes after it and the view that results.
func sequenceOf(n int) (first Change, all []Change, view *View) {
	view = &View{}
	view.ApplyList(Version{Revision: 1}, true, []Host{{Name: "a"}, {Name: "b"}})
	view.TakeChanges(1, 0)
	first = view.FullChange(1, 0)
	for i := range n {
		view.AddEvidence(Evidence{Name: string(rune('a' + i%2)), Position: int64(10 + i)}, maxPosition) // hosts alternate, so that a skipped change is visible
		all = append(all, view.TakeChanges(1, uint64(i+1)))
	}
	return first, all, view
}

func mustApply(t interface{ Fatal(...any) }, replica *Replica, change Change) {
	if _, err := replica.Apply(change); err != nil {
		t.Fatal(err)
	}
}

func TestRepeatedAndReorderedChangesSkipNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, all, view := sequenceOf(5)
		replica := Replica{}
		if _, err := replica.Apply(first); err != nil {
			t.Fatal(err)
		}
		for range 12 {
			change := rapid.SampledFrom(all).Draw(t, "change")
			before := replica.Sequence()
			if _, err := replica.Apply(change); err != nil {
				if !errors.Is(err, ErrGap) || change.Sequence == before+1 {
					t.Fatalf("change %d after change %d: %v", change.Sequence, before, err)
				}
				mustApply(t, &replica, first)
			}
			a, _ := replica.Host("a")
			b, _ := replica.Host("b")
			if sequence := int64(replica.Sequence()); sequence > 0 && max(a.Position, b.Position) != 9+sequence ||
				sequence > 1 && min(a.Position, b.Position) != 8+sequence {
				t.Fatalf("after change %d the positions are %d and %d", sequence, a.Position, b.Position)
			}
		}
		mustApply(t, &replica, view.FullChange(1, 5))
		if replica.Digest() != view.Digest() {
			t.Fatal("the replica differs after a full view")
		}
	})
}

func TestRestartOrTruncatedChangeNeedsFullView(t *testing.T) {
	first, all, view := sequenceOf(2)
	replica := Replica{}
	mustApply(t, &replica, first)
	truncated := all[0]
	truncated.Hosts = nil
	if _, err := replica.Apply(truncated); !errors.Is(err, ErrDigestMismatch) || replica.Complete() {
		t.Errorf("truncated change: %v", err)
	}
	if _, err := replica.Apply(all[1]); !errors.Is(err, ErrGap) {
		t.Errorf("change after the truncated one: %v", err)
	}
	mustApply(t, &replica, view.FullChange(1, 2))
	if _, err := replica.Apply(Change{Incarnation: 2, Sequence: 3}); !errors.Is(err, ErrRestarted) || replica.Complete() {
		t.Errorf("change of another incarnation: %v", err)
	}
	if applied, err := replica.Apply(view.FullChange(2, 0)); !applied || err != nil || !replica.Complete() {
		t.Errorf("full view of another incarnation: %v", err)
	}
}
