package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/config"
)

// planCommand validates an operator's configuration with the checks of the control plane.
type planCommand struct {
	json    bool
	current string // file of the configuration to amend; empty: the file is a complete configuration
}

// Name implements subcommands.Command.
func (*planCommand) Name() string { return "plan" }

// Synopsis implements subcommands.Command.
func (*planCommand) Synopsis() string {
	return "check an operator's configuration and name the faulty key"
}

// Usage implements subcommands.Command.
func (*planCommand) Usage() string {
	return program + " plan [-json] [-current FILE] FILE\n  checks a complete configuration, or with -current an amendment of that configuration\n"
}

// SetFlags implements subcommands.Command.
func (c *planCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.json, "json", false, "print the checked configuration as JSON")
	flags.StringVar(&c.current, "current", "", "the configuration that FILE amends")
}

// Execute implements subcommands.Command.
func (c *planCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return cli.Fail(program, trace.BadParameter("plan: expected one file argument"))
	}
	path := flags.Arg(0)
	checked, err := c.check(path)
	if err != nil {
		return cli.Fail(program, err)
	}
	return cli.Print(os.Stdout, c.json, checked, func(w io.Writer) {
		fmt.Fprintf(w, "%s: valid: version %d, %d routes, %d services\n", path, checked.Generation, len(checked.Routes), len(checked.Services))
	})
}

func (c *planCommand) check(path string) (*config.Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var checked *config.Config
	if c.current == "" {
		checked, err = config.Read(body)
	} else {
		var current []byte
		if current, err = os.ReadFile(c.current); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		checked, err = config.Amend(current, body)
	}
	if err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	return checked, nil
}
