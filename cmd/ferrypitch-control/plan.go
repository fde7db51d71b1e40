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

// plan checks an operator's configuration as the control plane would.
type plan struct {
	json    bool
	current string
}

func (*plan) Name() string     { return "plan" }
func (*plan) Synopsis() string { return "check an operator's configuration and name the faulty key" }
func (*plan) Usage() string {
	return "ferrypitch-control plan [-json] [-current FILE] FILE\n  checks a whole configuration, or with -current a change of items of that one\n"
}
func (p *plan) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&p.json, "json", false, "print the checked configuration as JSON")
	f.StringVar(&p.current, "current", "", "the configuration that FILE changes")
}

func (p *plan) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return cli.Fail("ferrypitch-control", trace.BadParameter("plan: one file is wanted"))
	}
	body, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return cli.Fail("ferrypitch-control", trace.ConvertSystemError(err))
	}
	var checked *config.Config
	if p.current == "" {
		checked, err = config.Read(body)
	} else {
		var current []byte
		if current, err = os.ReadFile(p.current); err != nil {
			return cli.Fail("ferrypitch-control", trace.ConvertSystemError(err))
		}
		checked, err = config.Amend(current, body)
	}
	if err != nil {
		return cli.Fail("ferrypitch-control", trace.BadParameter("%s: %v", f.Arg(0), err))
	}
	return cli.Print(os.Stdout, p.json, checked, func(w io.Writer) {
		fmt.Fprintf(w, "%s: good: version %d, %d routes, %d services\n", f.Arg(0), checked.Generation, len(checked.Routes), len(checked.Services))
	})
}
