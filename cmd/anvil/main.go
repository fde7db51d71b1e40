// Command anvil is the control plane of ferrypitch: it keeps the configuration, the list of hosts and who leads each
// service, and carries fail-over out. See docs/design/system.md.
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
