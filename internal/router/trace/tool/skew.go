package tool

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/policy"
)

const (
	// skewWindow is the length of the windows for which minimum delays are computed, in tenths of a millisecond.
	skewWindow = 10 * tenthsPerSecond
	// minWindowsForDrift is the number of windows required to estimate the drift; with fewer, only the offset is estimated.
	minWindowsForDrift = 3
)

// ErrNoOverlap is the error for two routers that have no window in common by which to compare their clocks.
var ErrNoOverlap = errors.New("no primary responded to both this router and the first one within the same 10 s window")

// ClockSkew is the estimated skew of a router's clock relative to the first router's clock.
type ClockSkew struct {
	Router       string
	Offset       float64 // how far the clock is ahead at From, in tenths of a millisecond
	Drift        float64 // change of the offset per unit of time
	From         int64   // time on the router's clock to which Offset refers
	MaxDeviation float64 // maximum deviation of a window from the fitted line, in tenths of a millisecond
	Windows      int     // number of windows that both routers have in common
}

// Correct converts a time on the router's clock to the first router's clock.
func (s ClockSkew) Correct(at int64) int64 {
	offset := s.Offset + s.Drift*float64(at-s.From)
	return at - int64(math.Round(offset))
}

// DelaySamples collects the delays of a router's responses from primaries: the time from the
// position that a primary stated to the receipt of its response. The minimum delay of a host
// in a window is the difference of the clocks plus the network delay of the response, which is
// the same for routers at one site.
type DelaySamples struct {
	From, To int64 // times of the earliest and the latest event

	schema       format.Schema
	hostNames    map[int64]string     // by number
	dispatchedTo map[int64]int64      // by number of the command, the number of the host
	minDelay     map[hostWindow]int64 // in tenths of a millisecond
}

// hostWindow is a window of positions of a host. Positions are assigned by the host, so all
// routers have the same windows.
type hostWindow struct {
	host   string
	window int64
}

// NewDelaySamples returns empty samples for the events of a schema.
func NewDelaySamples(schema format.Schema) *DelaySamples {
	return &DelaySamples{
		schema: schema, hostNames: map[int64]string{}, dispatchedTo: map[int64]int64{}, minDelay: map[hostWindow]int64{},
	}
}

// Add adds an event.
func (d *DelaySamples) Add(event format.Event) {
	if d.From == 0 || event.At < d.From {
		d.From = event.At
	}
	d.To = max(d.To, event.At)
	e := newNamedEvent(d.schema, event)
	switch e.kind.Name {
	case "host":
		d.hostNames[e.number("host")] = e.text("name")
	case "dispatch":
		d.dispatchedTo[e.number("command")] = e.number("host")
	case "ended":
		d.addResponse(e)
	}
}

func (d *DelaySamples) addResponse(ended namedEvent) {
	command := ended.number("command")
	host, position := d.hostNames[d.dispatchedTo[command]], ended.number("position")
	delete(d.dispatchedTo, command)
	if position <= 0 || host == "" || policy.Role(ended.number("role")) != policy.Primary {
		return
	}
	key := hostWindow{host, position / skewWindow}
	delay := ended.At - position
	if minDelay, known := d.minDelay[key]; !known || delay < minDelay {
		d.minDelay[key] = delay
	}
}

// EstimateSkew estimates the skew of a router's clock from the delays of the first router and
// of this router, by fitting a line through the median difference of each window. The error
// wraps ErrNoOverlap if they have no window in common.
func EstimateSkew(router string, first, other *DelaySamples) (ClockSkew, error) {
	skew := ClockSkew{Router: router, From: other.From}
	differences := windowDifferences(first, other)
	skew.Windows = len(differences)
	if skew.Windows == 0 {
		return skew, fmt.Errorf("%s: %w", router, ErrNoOverlap)
	}
	var times, offsets []float64
	for window, values := range differences {
		slices.Sort(values)
		times = append(times, float64(window*skewWindow+skewWindow/2))
		offsets = append(offsets, values[len(values)/2])
	}
	meanTime, meanOffset := mean(times), mean(offsets)
	if skew.Windows >= minWindowsForDrift {
		skew.Drift = slope(times, offsets, meanTime, meanOffset)
	}
	// Windows consist of positions, which are approximately times on the first router's clock;
	// From is on the other router's clock.
	skew.Offset = meanOffset + skew.Drift*(float64(skew.From)-meanOffset-meanTime)
	for i := range times {
		expected := meanOffset + skew.Drift*(times[i]-meanTime)
		skew.MaxDeviation = max(skew.MaxDeviation, math.Abs(offsets[i]-expected))
	}
	return skew, nil
}

// windowDifferences returns, by window, the differences of the minimum delays of the hosts that both routers have.
func windowDifferences(first, other *DelaySamples) map[int64][]float64 {
	differences := map[int64][]float64{}
	for key, delay := range other.minDelay {
		if firstDelay, both := first.minDelay[key]; both {
			differences[key.window] = append(differences[key.window], float64(delay-firstDelay))
		}
	}
	return differences
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value / float64(len(values))
	}
	return sum
}

// slope returns the slope of the least-squares regression line.
func slope(xs, ys []float64, meanX, meanY float64) float64 {
	var sumXX, sumXY float64
	for i := range xs {
		sumXX += (xs[i] - meanX) * (xs[i] - meanX)
		sumXY += (xs[i] - meanX) * (ys[i] - meanY)
	}
	return sumXY / sumXX
}
