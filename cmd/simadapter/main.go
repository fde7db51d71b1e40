// Drill runs the decision module on the simulator's wire, from standard input
// to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"ferrypitch/internal/simadapter"
)

func main() {
	debug.SetGCPercent(400) // hundreds of instances share the process here; their garbage is small
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
