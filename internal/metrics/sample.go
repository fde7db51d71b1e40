package metrics

// Kind is how a figure behaves.
type Kind uint8

// Kinds.
const (
	Counter   Kind = iota // only rises while the process lives
	Gauge                 // goes up and down
	Durations             // a histogram of durations
)

// Family is a figure: one number, or one for each value of a label.
type Family struct {
	Name  string // without the namespace; counters end in _total, durations in _seconds
	Help  string // one sentence, with the unit where the name has none
	Kind  Kind
	Label string // what Sample.LabelValue is a value of; empty: the family has one sample

	statusName string // of a counter: its name in the status
}

// Sample is the value of a family at one moment.
type Sample struct {
	Family     Family
	LabelValue string
	Value      float64    // of a Counter or Gauge
	Histogram  *Histogram // of Durations
}

// Source returns all samples of a process at one moment; ok is false if the process is ending. It is called by an HTTP handler, and
// must not block for long.
type Source func() (samples []Sample, ok bool)
