package tool

import (
	"cmp"
	"maps"
	"slices"
)

// GroupDiff compares two summaries of one command group in one replica set. The values of
// each pair are those of the first and the second summary. The names of the fields are the
// keys in the JSON of `trace diff --json`. Times are in milliseconds.
type GroupDiff struct {
	Group               string
	Set                 int64
	Taken               [2]int64   // commands submitted
	Answered, Throttled [2]float64 // fractions of the commands submitted
	Median, P99         [2]float64
	Dispatches          [2]float64 // per command
}

// Diff compares two summaries and sorts the result by group and set. The values of a group
// that a summary lacks are zero.
func Diff(first, second []GroupSummary) []GroupDiff {
	type key struct {
		group string
		set   int64
	}
	pairs := map[key]*[2]GroupSummary{}
	for side, summaries := range [][]GroupSummary{first, second} {
		for _, summary := range summaries {
			k := key{summary.Group, summary.Set}
			if pairs[k] == nil {
				pairs[k] = &[2]GroupSummary{}
			}
			pairs[k][side] = summary
		}
	}
	keys := slices.SortedFunc(maps.Keys(pairs), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.set, b.set))
	})
	var diffs []GroupDiff
	for _, k := range keys {
		diff := GroupDiff{Group: k.group, Set: k.set}
		for side, summary := range pairs[k] {
			diff.Taken[side] = summary.Taken
			diff.Answered[side] = ratio(summary.Answered, summary.Taken)
			diff.Throttled[side] = ratio(summary.Throttled, summary.Taken)
			diff.Median[side], diff.P99[side] = summary.Median, summary.P99
			diff.Dispatches[side] = summary.Dispatches
		}
		diffs = append(diffs, diff)
	}
	return diffs
}
