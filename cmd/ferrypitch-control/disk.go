package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/statemachine"
)

// diskCommand prints the contents of a stopped member's data directory.
type diskCommand struct{ json bool }

// Name implements subcommands.Command.
func (*diskCommand) Name() string { return "disk" }

// Synopsis implements subcommands.Command.
func (*diskCommand) Synopsis() string { return "show the contents of a stopped member's disk" }

// Usage implements subcommands.Command.
func (*diskCommand) Usage() string {
	return program + " disk [-json] FOLDER\n  shows the identity, term, log and state in a member's DataDir\n"
}

// SetFlags implements subcommands.Command.
func (c *diskCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.json, "json", false, "print as JSON")
}

// diskContents describes a data directory. It covers all entries of the log, committed or not. The field names are the keys of
// its JSON form.
type diskContents struct {
	Identity          storage.Identity
	Term              uint64
	SnapshotIndex     uint64
	LogEntries        int // after the snapshot
	LastIndex         uint64
	Version           int64 // of the configuration
	Hosts             []statemachine.Host
	Primaries         map[string]statemachine.Primary // by service
	Proxies           []string
	UnreadableEntries int
	RejectedChanges   int // entries that the state machine rejects, for instance an outdated configuration
}

// Execute implements subcommands.Command.
func (c *diskCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return cli.Fail(program, trace.BadParameter("disk: expected one folder argument"))
	}
	contents, err := readDisk(flags.Arg(0))
	if err != nil {
		return cli.Fail(program, err)
	}
	return cli.Print(os.Stdout, c.json, contents, contents.print)
}

func (d *diskContents) print(w io.Writer) {
	fmt.Fprintf(w, "member %s, term %d\n", d.Identity.ID, d.Term)
	fmt.Fprintf(w, "snapshot at index %d, %d entries after it, last index %d\n", d.SnapshotIndex, d.LogEntries, d.LastIndex)
	fmt.Fprintf(w, "version %d, %d hosts, %d proxies\n", d.Version, len(d.Hosts), len(d.Proxies))
	for _, service := range slices.Sorted(maps.Keys(d.Primaries)) {
		primary := d.Primaries[service]
		fmt.Fprintf(w, "%s: primary %s, term %d, revoked %v, fencing token %d\n", service, primary.Host, primary.Term, primary.Revoked, primary.FencingToken)
	}
	if d.UnreadableEntries+d.RejectedChanges > 0 {
		fmt.Fprintf(w, "%d entries are unreadable, %d changes were rejected\n", d.UnreadableEntries, d.RejectedChanges)
	}
}

// readDisk reads a data directory without writing to it.
func readDisk(folder string) (*diskContents, error) {
	identity, restored, err := storage.ReadFolder(folder)
	if err != nil {
		return nil, err
	}
	if identity.ID == "" {
		identity.ID = "(none)"
	}
	contents := &diskContents{Identity: identity}
	if err := contents.restore(restored); err != nil {
		return nil, trace.BadParameter("%s: invalid snapshot: %v", folder, err)
	}
	return contents, nil
}

// restore rebuilds the state from the snapshot and all entries of the log, and fills the remaining fields from it.
func (d *diskContents) restore(restored consensus.RestoredState) error {
	state, err := statemachine.Restore(restored.Snapshot.Data)
	if err != nil {
		return err
	}
	for i, entry := range restored.Entries {
		if len(entry.Data) == 0 {
			continue
		}
		change, err := statemachine.DecodeChange(entry.Data)
		if err != nil {
			d.UnreadableEntries++
		} else if state.Apply(restored.Snapshot.Index+uint64(i)+1, change) != nil {
			d.RejectedChanges++
		}
	}
	d.Term = restored.HardState.Term
	d.SnapshotIndex = restored.Snapshot.Index
	d.LogEntries = len(restored.Entries)
	d.LastIndex = restored.Snapshot.Index + uint64(len(restored.Entries))
	d.Version = state.Generation
	d.Primaries = state.Primaries
	d.Proxies = state.ProxyNames()
	for _, id := range slices.Sorted(maps.Keys(state.Hosts)) {
		d.Hosts = append(d.Hosts, state.Hosts[id])
	}
	return nil
}
