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
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
)

// disk shows what a stopped member holds. It reads a copy: the member's own file is not opened for writing.
type disk struct{ json bool }

func (*disk) Name() string     { return "disk" }
func (*disk) Synopsis() string { return "show what a stopped member holds on its disk" }
func (*disk) Usage() string {
	return "ferrypitch-control disk [-json] FOLDER\n  shows identity, view, members and state of the log in a member's DataDir\n"
}
func (d *disk) SetFlags(f *flag.FlagSet) { f.BoolVar(&d.json, "json", false, "print as JSON") }

// held is what is shown.
type held struct {
	Identity        storage.Identity
	View            uint64
	Snapshot        uint64
	Entries         int
	Last            uint64
	Version         int64
	Hosts           []statemachine.Host
	Leads           map[string]statemachine.Primary
	Routers         []string
	Unread, Refused int // entries that can't be read; changes that changed nothing
}

func (d *disk) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return cli.Fail("ferrypitch-control", trace.BadParameter("disk: one folder is wanted"))
	}
	h, err := look(f.Arg(0))
	if err != nil {
		return cli.Fail("ferrypitch-control", err)
	}
	return cli.Print(os.Stdout, d.json, h, func(w io.Writer) {
		fmt.Fprintf(w, "member %s, view %d\nsnapshot up to %d, %d entries behind it, the last %d\nversion %d, %d hosts, %d routers\n",
			h.Identity.ID, h.View, h.Snapshot, h.Entries, h.Last, h.Version, len(h.Hosts), len(h.Routers))
		for name, l := range h.Leads {
			fmt.Fprintf(w, "%s: led by %s, term %d, moving %v, fence %d\n", name, l.Host, l.Term, l.Revoked, l.FencingToken)
		}
		if h.Unread+h.Refused > 0 {
			fmt.Fprintf(w, "%d entries can't be read, %d changed nothing\n", h.Unread, h.Refused)
		}
	})
}

// look reads all of a member's log, delivered or not.
func look(folder string) (h held, err error) {
	id, kept, err := storage.ReadFolder(folder)
	if err != nil {
		return h, err
	}
	if id.ID == "" {
		id.ID = "(none)"
	}
	state, err := statemachine.Restore(kept.Snapshot.Data)
	if err != nil {
		return h, trace.BadParameter("%s: its snapshot: %v", folder, err)
	}
	for i, e := range kept.Entries {
		if len(e.Data) == 0 {
			continue
		}
		c, err := statemachine.DecodeChange(e.Data)
		if err != nil {
			h.Unread++
		} else if state.Apply(kept.Snapshot.Index+uint64(i)+1, c) != nil {
			h.Refused++
		}
	}
	h.Identity, h.View, h.Snapshot, h.Entries = id, kept.HardState.Term, kept.Snapshot.Index, len(kept.Entries)
	h.Last, h.Version, h.Leads, h.Routers = kept.Snapshot.Index+uint64(len(kept.Entries)), state.Generation, state.Primaries, state.ProxyNames()
	for _, host := range state.Hosts {
		h.Hosts = append(h.Hosts, host)
	}
	return h, nil
}
