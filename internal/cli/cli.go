// Package cli implements the parts of the command line that ferrypitch-proxy and ferrypitch-control share: the sub-commands run,
// check and status, the printing of results, and the exit statuses (0 success, 1 failure, 2 usage error or invalid settings).
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

// Register registers the given sub-commands and the built-in commands that print help.
func Register(commands ...subcommands.Command) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, command := range commands {
		subcommands.Register(command, "")
	}
}

// Fail prints err on one line of standard error and returns its exit status: a usage error for the trace errors BadParameter,
// NotFound and LimitExceeded, a failure for any other error.
func Fail(program string, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s: %s\n", program, trace.UserMessage(err))
	if trace.IsBadParameter(err) || trace.IsNotFound(err) || trace.IsLimitExceeded(err) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// Print writes result to w, as indented JSON if asJSON is set and with printText otherwise.
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

// Counters prints counters sorted by name, one per line.
func Counters(w io.Writer, counters map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		fmt.Fprintf(w, "%s %d\n", name, counters[name])
	}
}
