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

// progressInterval is the minimum time between two progress updates on the terminal.
const progressInterval = 200 * time.Millisecond

// allEvents is a window that contains every event, including events whose time is 0 or negative.
var allEvents = tool.Window{First: math.MinInt64 / 2}

func traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Read, cut, merge, anonymise, summarise and replay trace files"}
	c.AddCommand(traceInfoCommand(), traceCatCommand(), traceCutCommand(), traceMergeCommand(), traceAnonymiseCommand(),
		traceSummaryCommand(), traceDiffCommand(), traceRepairCommand(), traceReplayCommand())
	return c
}

// readEvents opens a trace file, calls begin after reading its header, and calls handle for each event in a window. It prints the
// parts of the file that could not be read, and returns an exitStatus if there are any.
func readEvents(path string, window tool.Window, begin func(*tool.Source) error, handle func(format.Event) error) error {
	source, err := tool.Open(path)
	if err != nil {
		return reportFailure(err)
	}
	defer func() { _ = source.Close() }() // the file was only read
	if err := begin(source); err != nil {
		return err
	}
	if err := source.Each(window, progressReporter(path), handle); err != nil {
		return reportFailure(err)
	}
	return reportUnread(path, source)
}

// progressReporter returns a function that shows the progress of a long operation on the terminal, or nil if standard error is not
// a terminal.
func progressReporter(name string) func(done, total int64) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	lastShown := time.Time{}
	return func(done, total int64) {
		if time.Since(lastShown) > progressInterval || done == total {
			lastShown = time.Now()
			fmt.Fprintf(os.Stderr, "\r%s %d of %d", name, done, total)
			if done == total {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
}

// reportUnread prints the parts of a file that could not be read, and returns an exitStatus if there are any.
func reportUnread(path string, source *tool.Source) error {
	var faults []error
	for _, fault := range source.CorruptBlocks {
		faults = append(faults, fmt.Errorf("%s: skipped a block: %w", path, &fault))
	}
	if source.Truncated != nil {
		faults = append(faults, fmt.Errorf("%s: the file is truncated: %w", path, source.Truncated))
	}
	for _, err := range faults {
		fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	}
	if len(faults) > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}

// reportFailure prints an error that concerns the files rather than the arguments, and returns the exit status for it.
func reportFailure(err error) error {
	fmt.Fprintln(os.Stderr, "ferrypitch:", err)
	return exitStatus(exitFailed)
}

// formatTime formats a time in tenths of a millisecond since 1970.
func formatTime(tenths int64) string {
	return time.Unix(0, tenths*int64(clock.Resolution)).UTC().Format("2006-01-02T15:04:05.0000Z")
}

// writeAtomically calls write with a temporary file and renames it to path if write succeeds, so that a partial file never appears
// under that name. The path "-" is standard output.
func writeAtomically(path string, write func(out io.Writer) error) error {
	if path == "-" {
		return write(os.Stdout)
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".trace-*")
	if err != nil {
		return reportFailure(err)
	}
	defer func() { _ = os.Remove(f.Name()) }() // fails if the file was renamed
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
