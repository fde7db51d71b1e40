// Ferrylab is the laboratory: fleets of stand-ins, loads, and what came of them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// errBroken ends with status 1 after all has been said.
var errBroken = errors.New("a rule was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "ferrylab", Short: "The laboratory of ferrypitch, on loopback and stand-ins alone",
		SilenceErrors: true, SilenceUsage: true}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(systemCommand(), demoCommand(), tiersCommand(), exportCommand())
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
	case errors.Is(err, errBroken):
		fmt.Fprintln(os.Stderr, "ferrylab:", err)
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, "ferrylab:", err)
		os.Exit(2)
	}
}
