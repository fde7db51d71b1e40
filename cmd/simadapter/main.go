// Command simadapter runs the routing policy for the simulator: it reads batches of events from standard input and writes the
// resulting actions to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"ferrypitch/internal/simadapter"
)

// gcPercent is higher than Go's default: hundreds of instances share the process, and their garbage is small.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
