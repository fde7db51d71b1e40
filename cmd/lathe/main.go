// Command lathe is the data plane of ferrypitch: it takes clients' sessions and sends their statements to the hosts that
// may serve them. See docs/design/system.md.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&run{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
