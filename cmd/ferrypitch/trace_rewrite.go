package main

import (
	"errors"
	"io"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/tool"
)

// rewrite copies a trace file: it writes the header that changeHeader returns, and the events of a window that changeEvent keeps, in
// the form that it returns. Unreadable parts are printed and skipped; they are not a failure.
func rewrite(in, out string, window tool.Window, changeHeader func(format.Header) (format.Header, error),
	changeEvent func(format.Event) (changed format.Event, keep bool),
) error {
	return writeAtomically(out, func(to io.Writer) error {
		var output *tool.Output
		readErr := readEvents(in, window, func(source *tool.Source) error {
			header, err := changeHeader(source.Header)
			if err == nil {
				output, err = tool.NewOutput(to, header)
			}
			return err
		}, func(event format.Event) error {
			if changed, keep := changeEvent(event); keep {
				return output.Add(changed)
			}
			return nil
		})
		var reported exitStatus
		if readErr != nil && (output == nil || !errors.As(readErr, &reported)) {
			return readErr
		}
		return output.Close()
	})
}

// keepHeader and keepEvent copy headers and events unchanged.
func keepHeader(header format.Header) (format.Header, error) { return header, nil }
func keepEvent(event format.Event) (format.Event, bool)      { return event, true }

func traceCutCommand() *cobra.Command {
	var flags filterFlags
	c := &cobra.Command{
		Use:   "cut FILE OUT",
		Short: "Write the events of a time window, of sessions, sets or groups to a new file",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			window, err := flags.window()
			if err != nil {
				return err
			}
			var filter *tool.Filter
			return rewrite(args[0], args[1], window, func(header format.Header) (format.Header, error) {
				header.SampledPerMille = 0 // marks the trace as incomplete, so that it is not replayed
				var err error
				filter, err = flags.filter(header)
				return header, err
			}, func(event format.Event) (format.Event, bool) { return event, filter.Matches(event) })
		},
	}
	flags.register(c)
	return c
}

func traceRepairCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "repair FILE OUT",
		Short: "Write the readable part of a file, with an index, to a new file",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return rewrite(args[0], args[1], allEvents, keepHeader, keepEvent)
		},
	}
}

func traceAnonymiseCommand() *cobra.Command {
	var keyPath string
	c := &cobra.Command{
		Use:   "anonymise FILE OUT",
		Short: "Replace names and addresses with keyed pseudonyms, and drop free text",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			key, err := setup.ReadKey(keyPath)
			if err != nil {
				return err
			}
			anonymous := tool.NewAnonymizer(key)
			return rewrite(args[0], args[1], allEvents, anonymous.Header,
				func(event format.Event) (format.Event, bool) { return anonymous.Event(event), true })
		},
	}
	c.Flags().StringVar(&keyPath, "key", "", "a key file written by ferrypitch key")
	requireFlag(c, "key")
	return c
}
