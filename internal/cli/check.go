package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"ferrypitch/internal/settings"
)

// Check is the sub-command that checks a settings file.
type Check struct {
	Program string
	asJSON  bool
}

// Name implements subcommands.Command.
func (*Check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Check) Synopsis() string { return "check a settings file and name the faulty key" }

// Usage implements subcommands.Command.
func (c *Check) Usage() string {
	return c.Program + " check [-json] FILE\n  checks a settings file without starting a process\n"
}

// SetFlags implements subcommands.Command.
func (c *Check) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.asJSON, "json", false, "print the settings as JSON")
}

// Execute implements subcommands.Command.
func (c *Check) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return Fail(c.Program, trace.BadParameter("check: expected one file argument"))
	}
	path := flags.Arg(0)
	loaded, err := settings.ReadFile(path)
	if err != nil {
		return Fail(c.Program, err)
	}
	return Print(os.Stdout, c.asJSON, loaded, func(w io.Writer) {
		fmt.Fprintf(w, "%s: valid: node %s at %s, zone %s, %d seeds\n", path, loaded.Node, loaded.Ip, loaded.Zone, len(loaded.SeedPeers))
	})
}
