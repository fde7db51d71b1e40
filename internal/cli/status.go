package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
)

const (
	statusTimeout  = 3 * time.Second
	maxStatusBytes = 8 << 20
)

// Status is the sub-command that prints the status of a running process. The process serves it over HTTP as the JSON form of T.
type Status[T any] struct {
	Program     string
	Description string // synopsis
	Path        string // of the HTTP endpoint
	PrintText   func(w io.Writer, status T)
	asJSON      bool
}

// Name implements subcommands.Command.
func (*Status[T]) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (s *Status[T]) Synopsis() string { return s.Description }

// Usage implements subcommands.Command.
func (s *Status[T]) Usage() string {
	return s.Program + " status [-json] ADDRESS\n  asks the process at ADDRESS (host:port): " + s.Description + "\n"
}

// SetFlags implements subcommands.Command.
func (s *Status[T]) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&s.asJSON, "json", false, "print as JSON")
}

// Execute implements subcommands.Command.
func (s *Status[T]) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return Fail(s.Program, trace.BadParameter("status: expected one address argument"))
	}
	status, err := s.get(ctx, flags.Arg(0))
	if err != nil {
		return Fail(s.Program, err)
	}
	return Print(os.Stdout, s.asJSON, status, func(w io.Writer) { s.PrintText(w, status) })
}

func (s *Status[T]) get(ctx context.Context, address string) (status T, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+s.Path, nil)
	if err != nil {
		return status, trace.ConnectionProblem(err, "%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, trace.ConnectionProblem(err, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, trace.Errorf("%s returned status %s for %s", address, response.Status, s.Path)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status); err != nil {
		return status, trace.Wrap(err, "decoding the response")
	}
	return status, nil
}
