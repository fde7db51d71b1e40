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
	// windowTenths is the length of the windows in which the least delay is taken.
	windowTenths = 10 * tenthsPerSecond
	// minWindowsForDrift is how many windows a line needs; below it only the offset is estimated.
	minWindowsForDrift = 3
)

// ErrNoOverlap is the error of two routers that have nothing in common to compare their clocks by.
var ErrNoOverlap = errors.New("saw no host in the same ten seconds as the first one")

// ClockSkew is how a router's clock stands to the clock of the first router.
type ClockSkew struct {
	Router  string
	Offset  float64 // at From: how far the clock is ahead, in tenths of a millisecond
	Drift   float64 // by how much of the time that passes the offset grows
	From    int64   // time by the router's clock
	Bound   float64 // the greatest distance of a window from the line, in tenths of a millisecond
	Windows int     // windows that both routers had
}

// Correct returns a time of the router's clock by the clock of the first router.
func (s ClockSkew) Correct(at int64) int64 {
	offset := s.Offset + s.Drift*float64(at-s.From)
	return at - int64(math.Round(offset))
}

// DelaySamples are the delays of a router's responses from primaries: how long after the
// position that a primary named the router had the response. The least delay of
// each host and window is the difference of the clocks and the time of the way
// back, which routers at one site share.
type DelaySamples struct {
	From, To int64 // times of the first and last event

	schema    format.Schema
	hostNames map[int64]string // by number
	sentTo    map[int64]int64  // command to host, by number
	least     map[hostWindow]int64
}

// hostWindow is a window of positions of a host. Positions are the host's, so that
// all routers have the same windows.
type hostWindow struct {
	host   string
	window int64
}

// NewDelaySamples returns empty samples for events of a schema.
func NewDelaySamples(schema format.Schema) *DelaySamples {
	return &DelaySamples{
		schema: schema, hostNames: map[int64]string{}, sentTo: map[int64]int64{}, least: map[hostWindow]int64{},
	}
}

// Add adds an event.
func (d *DelaySamples) Add(event format.Event) {
	if d.From == 0 || event.At < d.From {
		d.From = event.At
	}
	d.To = max(d.To, event.At)
	e := named(d.schema, event)
	switch e.kind.Name {
	case "host":
		d.hostNames[e.number("host")] = e.text("name")
	case "dispatch":
		d.sentTo[e.number("command")] = e.number("host")
	case "ended":
		d.addResponse(e)
	}
}

func (d *DelaySamples) addResponse(ended namedEvent) {
	command := ended.number("command")
	host, position := d.hostNames[d.sentTo[command]], ended.number("position")
	delete(d.sentTo, command)
	if position <= 0 || host == "" || policy.Role(ended.number("role")) != policy.Primary {
		return
	}
	key := hostWindow{host, position / windowTenths}
	delay := ended.At - position
	if least, known := d.least[key]; !known || delay < least {
		d.least[key] = delay
	}
}

// EstimateSkew estimates the skew of a router's clock from the delays of the first
// router and its own: the line through the median difference of each window. The
// error wraps ErrNoOverlap if they have no window in common.
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
		times = append(times, float64(window*windowTenths+windowTenths/2))
		offsets = append(offsets, values[len(values)/2])
	}
	meanTime, meanOffset := mean(times), mean(offsets)
	if skew.Windows >= minWindowsForDrift {
		skew.Drift = slope(times, offsets, meanTime, meanOffset)
	}
	// Windows are of positions, which are about times of the first router's clock;
	// From is of the other's.
	skew.Offset = meanOffset + skew.Drift*(float64(skew.From)-meanOffset-meanTime)
	for i := range times {
		expected := meanOffset + skew.Drift*(times[i]-meanTime)
		skew.Bound = max(skew.Bound, math.Abs(offsets[i]-expected))
	}
	return skew, nil
}

// windowDifferences returns, by window, the differences of the least delays to hosts that both routers have.
func windowDifferences(first, other *DelaySamples) map[int64][]float64 {
	differences := map[int64][]float64{}
	for key, delay := range other.least {
		if firstDelay, both := first.least[key]; both {
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

// slope returns the slope of the least-squares line.
func slope(xs, ys []float64, meanX, meanY float64) float64 {
	var sumXX, sumXY float64
	for i := range xs {
		sumXX += (xs[i] - meanX) * (xs[i] - meanX)
		sumXY += (xs[i] - meanX) * (ys[i] - meanY)
	}
	return sumXY / sumXX
}
