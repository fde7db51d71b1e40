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

// restoreCommand creates the data directory of one founding member of a new control plane from a snapshot file.
type restoreCommand struct {
	json        bool
	otherSystem bool   // accept a snapshot that shares no member with the seeds
	discard     uint64 // last index of existing data that may be discarded; 0: none newer than the snapshot
}

// Name implements subcommands.Command.
func (*restoreCommand) Name() string { return "restore" }

// Synopsis implements subcommands.Command.
func (*restoreCommand) Synopsis() string {
	return "make this machine a founding member of a new control plane with the state in a file"
}

// Usage implements subcommands.Command.
func (*restoreCommand) Usage() string {
	return program + ` restore [-json] [-other-system] [-discard INDEX] FILE
  writes the DataDir of the settings file named by $` + settings.EnvVar + ` for a founding member of a new control plane that
  starts with the state in FILE. Run it with the same FILE on each machine that the settings list in SeedPeers, while
  no member is running; then start the members. Existing files in DataDir are renamed, not deleted. Data newer than
  the snapshot is replaced only if -discard gives its last index.
`
}

// SetFlags implements subcommands.Command.
func (c *restoreCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.json, "json", false, "print as JSON")
	flags.BoolVar(&c.otherSystem, "other-system", false, "accept a snapshot none of whose members is among the seeds")
	flags.Uint64Var(&c.discard, "discard", 0, "discard the data in DataDir, whose last index is `index`")
}

// Execute implements subcommands.Command.
func (c *restoreCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return cli.Fail(program, trace.BadParameter("restore: expected one file argument"))
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
		return nil, trace.BadParameter("DataDir: missing; there is no directory to restore to")
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
		fmt.Fprintf(w, "discarded the existing data up to index %d; its files are kept under new names\n", restored.Discarded)
	}
}
