// Ferrylab runs complete deployments on loopback against simulated database hosts, under load and with injected faults, and reports
// what clients and hosts observed. It exits with status 1 if a guarantee was violated, and with 2 if the run itself failed.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// errViolations ends the program with status 1. The report has listed the violations by then.
var errViolations = errors.New("a guarantee was violated")

const (
	statusViolations = 1
	statusFailed     = 2
)

func main() {
	os.Exit(run())
}

// run runs the sub-command given by the arguments, and returns the exit status of the process.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "ferrylab",
		Short:         "Deployments of ferrypitch on loopback, with simulated hosts",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(systemCommand(), soakCommand(), lossesCommand(), demoCommand(), tiersCommand(), exportCommand())
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "ferrylab:", err)
	if errors.Is(err, errViolations) {
		return statusViolations
	}
	return statusFailed
}

// printJSON prints a result as indented JSON.
func printJSON(out io.Writer, result any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
