package tool

import (
	"cmp"
	"maps"
	"slices"
)

// GroupDiff compares two summaries of one command group in one replica set: the first
// value of each pair is of the first summary. Its fields are the JSON of
// `trace diff --json`. Times are in milliseconds.
type GroupDiff struct {
	Group               string
	Set                 int64
	Taken               [2]int64
	Answered, Throttled [2]float64 // parts of the commands taken
	Median, P99         [2]float64
	Dispatches          [2]float64 // a command
}

// Diff compares two summaries, sorted by group and set. A group that only one of
// them has is all zeros in the other.
func Diff(first, second []GroupSummary) []GroupDiff {
	type key struct {
		group string
		set   int64
	}
	pairs := map[key]*[2]GroupSummary{}
	for side, lines := range [][]GroupSummary{first, second} {
		for _, line := range lines {
			k := key{line.Group, line.Set}
			if pairs[k] == nil {
				pairs[k] = &[2]GroupSummary{}
			}
			pairs[k][side] = line
		}
	}
	keys := slices.SortedFunc(maps.Keys(pairs), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.set, b.set))
	})
	var changes []GroupDiff
	for _, k := range keys {
		change := GroupDiff{Group: k.group, Set: k.set}
		for side, line := range pairs[k] {
			change.Taken[side] = line.Taken
			change.Answered[side] = ratio(line.Answered, line.Taken)
			change.Throttled[side] = ratio(line.Throttled, line.Taken)
			change.Median[side], change.P99[side] = line.Median, line.P99
			change.Dispatches[side] = line.Dispatches
		}
		changes = append(changes, change)
	}
	return changes
}
