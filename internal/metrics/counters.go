package metrics

import (
	"maps"
	"slices"
	"strings"
)

// Counters maps the counters of a status report, by name, to metric families. If a counter's name begins with a prefix in
// Labeled, the counter is a sample of that family, with the rest of the name as the label value.
type Counters struct {
	Unlabeled map[string]Family // by name of the counter
	Labeled   map[string]Family // by prefix of the counter's name
}

// Samples returns the samples of counters, sorted by counter name. Counters without a family are omitted.
func (c *Counters) Samples(counters map[string]int64) (samples []Sample) {
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if family, labelValue, ok := c.FamilyOf(name); ok {
			samples = append(samples, Sample{Family: family, LabelValue: labelValue, Value: float64(counters[name])})
		}
	}
	return samples
}

// FamilyOf returns the family and the label value of a counter. ok is false if it has no family.
func (c *Counters) FamilyOf(name string) (family Family, labelValue string, ok bool) {
	if family, ok := c.Unlabeled[name]; ok {
		return family, "", true
	}
	for prefix, family := range c.Labeled {
		if rest, found := strings.CutPrefix(name, prefix); found {
			return family, rest, true
		}
	}
	return Family{}, "", false
}

// CounterFamily returns the family of a counter that is exported under its name in the status report with the suffix _total.
func CounterFamily(statusName, help string) Family {
	return CounterFamilyAs(statusName, statusName+"_total", help)
}

// CounterFamilyAs returns the family of a counter that is exported under a name other than that in the status report.
func CounterFamilyAs(statusName, name, help string) Family {
	return Family{Name: name, Help: help, Kind: Counter, statusName: statusName}
}

// GaugeFamily returns the family of a gauge that is exported under its name in the status report.
func GaugeFamily(name, help string) Family {
	return Family{Name: name, Help: help, Kind: Gauge, statusName: name}
}

// ByStatusName maps families created by CounterFamily, CounterFamilyAs and GaugeFamily by their names in the status report.
func ByStatusName(families ...Family) map[string]Family {
	named := make(map[string]Family, len(families))
	for _, family := range families {
		named[family.statusName] = family
	}
	return named
}
