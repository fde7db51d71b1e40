package metrics

import (
	"maps"
	"slices"
	"strings"
)

// Counters maps the counters of a status, by their names there, to families. A counter whose name is a prefix of Labelled and a rest
// is a sample of that family, with the rest as the value of its label.
type Counters struct {
	Plain    map[string]Family
	Labelled map[string]Family // by prefix
}

// Samples returns the samples of counters, in the order of their names. Counters without a family are left out.
func (c *Counters) Samples(counters map[string]int64) (samples []Sample) {
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if family, labelValue, ok := c.FamilyOf(name); ok {
			samples = append(samples, Sample{Family: family, LabelValue: labelValue, Value: float64(counters[name])})
		}
	}
	return samples
}

// FamilyOf returns the family of a counter, and the value of its label.
func (c *Counters) FamilyOf(name string) (family Family, labelValue string, ok bool) {
	if family, ok := c.Plain[name]; ok {
		return family, "", true
	}
	for prefix, family := range c.Labelled {
		if rest, found := strings.CutPrefix(name, prefix); found {
			return family, rest, true
		}
	}
	return Family{}, "", false
}

// Count is the family of a counter of the status: its name with _total behind it.
func Count(statusName, help string) Family { return CountAs(statusName, statusName+"_total", help) }

// CountAs is the family of a counter that has another name in the status.
func CountAs(statusName, name, help string) Family {
	return Family{Name: name, Help: help, Kind: Counter, statusName: statusName}
}

// PlainGauge is the family of a figure of the status that goes up and down.
func PlainGauge(name, help string) Family {
	return Family{Name: name, Help: help, Kind: Gauge, statusName: name}
}

// ByStatusName returns families that Count, CountAs and PlainGauge made, by their names in the status.
func ByStatusName(families ...Family) map[string]Family {
	named := make(map[string]Family, len(families))
	for _, family := range families {
		named[family.statusName] = family
	}
	return named
}
