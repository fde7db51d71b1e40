package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/control/backup"
	"ferrypitch/internal/rpc"
)

// snapshotTimeout limits the whole request to a member, including its response body.
const snapshotTimeout = 30 * time.Second

// snapshotCommand saves the state of a running control plane to a file.
type snapshotCommand struct{ json bool }

// Name implements subcommands.Command.
func (*snapshotCommand) Name() string { return "snapshot" }

// Synopsis implements subcommands.Command.
func (*snapshotCommand) Synopsis() string {
	return "save the state of a running control plane to a file"
}

// Usage implements subcommands.Command.
func (*snapshotCommand) Usage() string {
	return program + ` snapshot [-json] ADDRESS FILE
  requests the state at one index from the member at ADDRESS (host:port of its Control address), and writes it to FILE,
  which must not exist
`
}

// SetFlags implements subcommands.Command.
func (c *snapshotCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.json, "json", false, "print as JSON")
}

// takenSnapshot describes the snapshot file that was written. The field names are the keys of its JSON form.
type takenSnapshot struct {
	File    string
	Index   uint64
	Version int64 // of the configuration
	Bytes   int   // of the state
}

// Execute implements subcommands.Command.
func (c *snapshotCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 2 {
		return cli.Fail(program, trace.BadParameter("snapshot: expected an address and a file argument"))
	}
	taken, err := takeSnapshot(ctx, flags.Arg(0), flags.Arg(1))
	if err != nil {
		return cli.Fail(program, err)
	}
	return cli.Print(os.Stdout, c.json, taken, func(w io.Writer) {
		fmt.Fprintf(w, "%s: the state at index %d, configuration %d, %d bytes\n", taken.File, taken.Index, taken.Version, taken.Bytes)
	})
}

func takeSnapshot(ctx context.Context, address, path string) (*takenSnapshot, error) {
	progress("requesting the state from %s", address)
	snapshot, err := fetchSnapshot(ctx, address)
	if err != nil {
		return nil, err
	}
	progress("writing %d bytes to %s", len(snapshot.State), path)
	if err := backup.Write(path, snapshot); err != nil {
		return nil, err
	}
	if _, err := backup.Read(path); err != nil { // verifies that the file can be read back
		return nil, err
	}
	return &takenSnapshot{File: path, Index: snapshot.Index, Version: snapshot.Version, Bytes: len(snapshot.State)}, nil
}

// fetchSnapshot requests a snapshot from a member, which forwards the request to the leader.
func fetchSnapshot(ctx context.Context, address string) (*backup.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+backup.Path, nil)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 2*rpc.MaxSnapshotBytes))
	switch {
	case response.StatusCode != http.StatusOK:
		return nil, trace.ConnectionProblem(nil, "%s returned status %s: %s", address, response.Status, body)
	case err != nil:
		return nil, trace.ConnectionProblem(err, "%s: %v", address, err)
	}
	return backup.Decode(body)
}

// progress prints a progress message to standard error if that is a terminal.
func progress(format string, args ...any) {
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	}
}
