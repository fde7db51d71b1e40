package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/tool"
)

// traceInfo is the output of trace info for one file. Its JSON keys are stable.
type traceInfo struct {
	File, Router, Build string
	Incarnation         string `json:"Life"` // of the process, in hexadecimal
	First, Last         string // times of the earliest and the latest event
	Events, Lost        int64
	Blocks              int
	Indexed             bool
	Sampled             float64          // fraction of the sessions that were captured
	Kinds               map[string]int64 // number of events by kind
}

func traceInfoCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "info FILE...",
		Short: "Describe trace files: router, time span, event counts and losses",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var failures error
			for _, path := range args {
				info, schema, err := readInfo(path)
				if info == nil {
					return err
				}
				failures = errors.Join(failures, err)
				if !asJSON {
					info.print(c.OutOrStdout(), schema)
				} else if err := json.NewEncoder(c.OutOrStdout()).Encode(info); err != nil {
					return err
				}
			}
			if failures != nil {
				return exitStatus(exitFailed)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

// readInfo reads a trace file and describes it. For a file that cannot be opened it returns an error and no info; for one that cannot
// be read to its end it returns both.
func readInfo(path string) (*traceInfo, format.Schema, error) {
	var source *tool.Source
	info := &traceInfo{File: path, Kinds: map[string]int64{}}
	var first, last int64
	err := readEvents(path, allEvents, func(s *tool.Source) error { source = s; return nil }, func(event format.Event) error {
		if info.Events++; info.Events == 1 {
			first, last = event.At, event.At
		}
		first, last = min(first, event.At), max(last, event.At)
		info.Kinds[source.Header.Schema[event.Kind].Name]++
		return nil
	})
	if source == nil {
		return nil, nil, err
	}
	header := source.Header
	info.Router, info.Build, info.Incarnation = header.Router, header.Build, strconv.FormatUint(header.Incarnation, 16)
	info.First, info.Last = formatTime(first), formatTime(last)
	info.Lost, info.Blocks, info.Indexed = int64(source.LostEvents), source.ReadBlocks, source.Index != nil
	info.Sampled = float64(header.SampledPerMille) / 1000
	return info, header.Schema, err
}

func (i *traceInfo) print(out io.Writer, schema format.Schema) {
	fmt.Fprintf(out, "%s: router %s, incarnation %s, build %s\n"+
		"  %s to %s, %d events in %d blocks, %d lost in capture, indexed %v, fraction of sessions %.3f\n",
		i.File, i.Router, i.Incarnation, i.Build, i.First, i.Last, i.Events, i.Blocks, i.Lost, i.Indexed, i.Sampled)
	for _, kind := range schema {
		if n := i.Kinds[kind.Name]; n > 0 {
			fmt.Fprintf(out, "  %-10s %d\n", kind.Name, n)
		}
	}
}

func traceCatCommand() *cobra.Command {
	var flags filterFlags
	var asJSON bool
	c := &cobra.Command{
		Use:   "cat FILE",
		Short: "Print the events of a file; - is standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var schema format.Schema
			out := c.OutOrStdout()
			encoder := json.NewEncoder(out)
			return flags.readFiltered(args[0], func(header format.Header) { schema = header.Schema }, func(event format.Event) error {
				if asJSON {
					return encoder.Encode(tool.EventObject(schema, event))
				}
				_, err := fmt.Fprintln(out, formatEvent(schema, event))
				return err
			})
		},
	}
	flags.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per line")
	return c
}

// formatEvent formats an event as one line with its time, its kind and its columns.
func formatEvent(schema format.Schema, event format.Event) string {
	kind := schema[event.Kind]
	fields := []string{formatTime(event.At), kind.Name}
	values := tool.EventObject(schema, event)
	for _, column := range kind.Columns {
		fields = append(fields, fmt.Sprintf("%s=%v", column.Name, values[column.Name]))
	}
	return strings.Join(fields, " ")
}
