package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/tool"
)

// filterFlags holds the flags that select events by time, session, group and replica set.
type filterFlags struct {
	from, to         string
	sessions, groups []string
	replicaSets      []int64
}

func (f *filterFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.from, "from", "", "start time, in RFC 3339 or in tenths of a millisecond since 1970")
	c.Flags().StringVar(&f.to, "to", "", "end time, in the same formats")
	c.Flags().StringSliceVar(&f.sessions, "session", nil, "only commands of these sessions")
	c.Flags().StringSliceVar(&f.groups, "group", nil, "only commands of these groups, by name or number")
	c.Flags().Int64SliceVar(&f.replicaSets, "set", nil, "only commands of these replica sets")
}

// window returns the time window that the flags select.
func (f *filterFlags) window() (window tool.Window, err error) {
	if window.First, err = parseTime(f.from); err == nil {
		window.Last, err = parseTime(f.to)
	}
	return window, err
}

// filter returns the event filter that the flags select for a file with the given header.
func (f *filterFlags) filter(header format.Header) (*tool.Filter, error) {
	filter := &tool.Filter{Sessions: map[string]bool{}, Sets: map[int64]bool{}, Groups: map[int64]bool{}}
	for _, session := range f.sessions {
		filter.Sessions[session] = true
	}
	for _, replicaSet := range f.replicaSets {
		filter.Sets[replicaSet] = true
	}
	names := tool.GroupNames(header)
	for _, group := range f.groups {
		number := int64(slices.Index(names, group))
		if number < 0 {
			var err error
			if number, err = strconv.ParseInt(group, 10, 64); err != nil {
				return nil, fmt.Errorf("--group %s: the file has %s", group, strings.Join(names, ", "))
			}
		}
		filter.Groups[number] = true
	}
	filter.SetSchema(header.Schema)
	return filter, nil
}

// readFiltered calls readEvents with the time window of the flags, and handle only for the events that match their filter.
func (f *filterFlags) readFiltered(path string, begin func(format.Header), handle func(format.Event) error) error {
	window, err := f.window()
	if err != nil {
		return err
	}
	var filter *tool.Filter
	return readEvents(path, window, func(source *tool.Source) (err error) {
		begin(source.Header)
		filter, err = f.filter(source.Header)
		return err
	}, func(event format.Event) error {
		if !filter.Matches(event) {
			return nil
		}
		return handle(event)
	})
}

// parseTime parses a time in RFC 3339 or in tenths of a millisecond since 1970, and returns it in tenths of a millisecond since
// 1970. It returns 0 for "".
func parseTime(text string) (tenths int64, err error) {
	if text == "" {
		return 0, nil
	}
	if tenths, err := strconv.ParseInt(text, 10, 64); err == nil {
		return tenths, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("%q: neither a time such as 2026-12-01T20:15:00Z nor tenths of a millisecond", text)
	}
	return at.UnixNano() / int64(clock.Resolution), nil
}
