package metrics

// Kind is the type of a metric.
type Kind uint8

// The kinds of metrics.
const (
	Counter           Kind = iota // only increases while the process runs
	Gauge                         // may increase and decrease
	DurationHistogram             // a histogram of durations
)

// Family describes a metric. It has one sample, or one sample for each value of its label.
type Family struct {
	Name  string // without the namespace; counters end in _total, durations in _seconds
	Help  string // one sentence; gives the unit if the name does not
	Kind  Kind
	Label string // name of the label that Sample.LabelValue is for; empty: the family has one sample

	statusName string // name of the counter in the status report
}

// Sample is the current value of a family for one label value.
type Sample struct {
	Family     Family
	LabelValue string
	Value      float64    // for a Counter or Gauge
	Histogram  *Histogram // for a DurationHistogram
}

// Source returns all current samples of a process. ok is false if the process is shutting down. It is called by an HTTP handler
// and must not block for long.
type Source func() (samples []Sample, ok bool)
