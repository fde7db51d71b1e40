// Drill runs the decision module on the simulator's wire, from standard input
// to standard output.
package main

import (
	"fmt"
	"os"

	"ferrypitch/internal/drill"
)

func main() {
	if err := drill.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
