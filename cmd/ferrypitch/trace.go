package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/tool"
)

// progressInterval is how often progress is shown.
const progressInterval = 200 * time.Millisecond

// allEvents is the window that every event is in, also those whose time is 0 or before.
var allEvents = tool.Window{First: math.MinInt64 / 2}

func traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Read, cut, merge, anonymise, sum up and replay trace files"}
	c.AddCommand(traceInfoCommand(), traceCatCommand(), traceCutCommand(), traceMergeCommand(), traceAnonymiseCommand(),
		traceSummaryCommand(), traceDiffCommand(), traceRepairCommand(), traceReplayCommand())
	return c
}

// readEvents opens a trace file, calls begin once its header is read, and handle for each event of a window. It prints what
// could not be read, and then returns an exitStatus.
func readEvents(path string, window tool.Window, begin func(*tool.Source) error, handle func(format.Event) error) error {
	source, err := tool.Open(path)
	if err != nil {
		return reportFailure(err)
	}
	defer func() { _ = source.Close() }() // it was only read
	if err := begin(source); err != nil {
		return err
	}
	if err := source.Each(window, progressOf(path), handle); err != nil {
		return reportFailure(err)
	}
	return reportUnread(path, source)
}

// progressOf returns what shows the progress of long work on the terminal, or nil if standard error is none.
func progressOf(what string) func(done, total int64) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	lastShown := time.Time{}
	return func(done, total int64) {
		if time.Since(lastShown) > progressInterval || done == total {
			lastShown = time.Now()
			fmt.Fprintf(os.Stderr, "\r%s %d of %d", what, done, total)
			if done == total {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
}

// reportUnread prints what of a file could not be read. Having read less than all is a failure.
func reportUnread(path string, source *tool.Source) error {
	var faults []error
	for _, fault := range source.CorruptBlocks {
		faults = append(faults, fmt.Errorf("%s: a block was passed over: %w", path, &fault))
	}
	if source.Truncated != nil {
		faults = append(faults, fmt.Errorf("%s: read up to its break: %w", path, source.Truncated))
	}
	for _, err := range faults {
		fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	}
	if len(faults) > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}

// reportFailure prints an error of the files rather than of the arguments, and returns the exit status for it.
func reportFailure(err error) error {
	fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	return exitStatus(exitFailed)
}

// formatTime formats a time in tenths of a millisecond since 1970.
func formatTime(tenths int64) string {
	return time.Unix(0, tenths*int64(clock.Resolution)).UTC().Format("2006-01-02T15:04:05.0000Z")
}

// writeAtomically has a file written that either is complete or does not appear; "-" is standard output.
func writeAtomically(path string, write func(out io.Writer) error) error {
	if path == "-" {
		return write(os.Stdout)
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".trace-*")
	if err != nil {
		return reportFailure(err)
	}
	defer func() { _ = os.Remove(f.Name()) }() // gone already, if it was renamed
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	var status exitStatus
	if err != nil && !errors.As(err, &status) {
		return reportFailure(err)
	}
	return err
}

// requireFlag marks a flag as required. It panics if the command has no such flag.
func requireFlag(c *cobra.Command, name string) {
	if err := c.MarkFlagRequired(name); err != nil {
		panic(err)
	}
}
