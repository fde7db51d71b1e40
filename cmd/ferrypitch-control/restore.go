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
	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control"
	"ferrypitch/internal/control/backup"
	"ferrypitch/internal/settings"
)

// restoreCommand makes the data directory of one founder of a new control plane.
type restoreCommand struct {
	json        bool
	otherSystem bool
	discard     uint64
}

// Name implements subcommands.Command.
func (*restoreCommand) Name() string { return "restore" }

// Synopsis implements subcommands.Command.
func (*restoreCommand) Synopsis() string {
	return "make this machine a founder of a new control plane with the state in a file"
}

// Usage implements subcommands.Command.
func (*restoreCommand) Usage() string {
	return program + ` restore [-json] [-other-system] [-discard INDEX] FILE
  makes the DataDir of the settings file of $` + settings.EnvVar + ` that of a founder of a new control plane, which begins
  with the state in FILE. To be run on each of the machines that the settings name as SeedPeers, with the same FILE, while
  none of them runs; then start them. What a member left in DataDir is kept beside, and is given up only if the
  snapshot has all of it, or if -discard names its last index.
`
}

// SetFlags implements subcommands.Command.
func (c *restoreCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.json, "json", false, "print as JSON")
	flags.BoolVar(&c.otherSystem, "other-system", false, "take a snapshot none of whose members is among the seeds")
	flags.Uint64Var(&c.discard, "discard", 0, "give up what DataDir holds up to this `index`, its last")
}

// Execute implements subcommands.Command.
func (c *restoreCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return cli.Fail(program, trace.BadParameter("restore: one file is wanted"))
	}
	loaded, err := settings.Read()
	if err != nil {
		return cli.Fail(program, err)
	}
	restored, err := c.restore(loaded, flags.Arg(0))
	if err != nil {
		return cli.Fail(program, err)
	}
	return cli.Print(os.Stdout, c.json, restored, func(w io.Writer) { printRestored(w, loaded.DataDir, restored) })
}

func (c *restoreCommand) restore(loaded *settings.Settings, path string) (*backup.Restored, error) {
	if loaded.DataDir == "" {
		return nil, trace.BadParameter("DataDir: missing; there is no disk to restore to")
	}
	progress("reading %s", path)
	snapshot, err := backup.Read(path)
	if err != nil {
		return nil, err
	}
	progress("writing %s", loaded.DataDir)
	return backup.Restore(loaded.DataDir, snapshot, backup.Options{
		Self:         consensus.ID(loaded.Ip),
		Founders:     control.Founders(loaded),
		OtherSystem:  c.otherSystem,
		DiscardIndex: c.discard,
	})
}

func printRestored(w io.Writer, folder string, restored *backup.Restored) {
	fmt.Fprintf(w, "%s: member %s of %v, index %d, term %d, configuration %d, %d hosts, %d proxies\n",
		folder, restored.Member, restored.Founders, restored.Index, restored.Term, restored.Version, restored.Hosts, restored.Proxies)
	if restored.Discarded > 0 {
		fmt.Fprintf(w, "given up: what was there up to index %d; it is kept beside\n", restored.Discarded)
	}
}
