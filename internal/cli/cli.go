// Package cli has what the command lines of ferrypitch-proxy and ferrypitch-control have in common: the sub-commands run, check and
// status, how results are printed, and the exit statuses (0 success, 1 failure, 2 wrong use or invalid settings).
package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
)

// Register registers the sub-commands of a program, and those that print help.
func Register(commands ...subcommands.Command) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, command := range commands {
		subcommands.Register(command, "")
	}
}

// Fail prints an error on one line of standard error, and returns the exit status for it: wrong use for trace's BadParameter,
// NotFound and LimitExceeded, failure for any other.
func Fail(program string, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s: %s\n", program, trace.UserMessage(err))
	if trace.IsBadParameter(err) || trace.IsNotFound(err) || trace.IsLimitExceeded(err) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// Print prints a result, either as JSON or as printText does.
func Print(w io.Writer, asJSON bool, result any, printText func(io.Writer)) subcommands.ExitStatus {
	if !asJSON {
		printText(w)
		return subcommands.ExitSuccess
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if encoder.Encode(result) != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// Counters prints counters in the order of their names.
func Counters(w io.Writer, counters map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		fmt.Fprintf(w, "%s %d\n", name, counters[name])
	}
}
