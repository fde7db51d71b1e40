package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"ferrypitch/internal/forge"
	"ferrypitch/internal/haft"
)

// status asks a running member.
type status struct{ json bool }

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "show a running member's view, leads and counters" }
func (*status) Usage() string {
	return "anvil status [-json] ADDRESS\n  asks the member that serves its control calls at ADDRESS\n"
}
func (s *status) SetFlags(f *flag.FlagSet) { f.BoolVar(&s.json, "json", false, "print as JSON") }

func (s *status) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return haft.Fail("anvil", trace.BadParameter("status: one address is wanted"))
	}
	client := http.Client{Timeout: 3 * time.Second}
	r, err := client.Get("http://" + f.Arg(0) + "/Member.Status")
	if err != nil {
		return haft.Fail("anvil", trace.ConnectionProblem(err, "%v", err))
	}
	defer r.Body.Close()
	var shown forge.Status
	if err := json.NewDecoder(io.LimitReader(r.Body, 8<<20)).Decode(&shown); err != nil {
		return haft.Fail("anvil", trace.Wrap(err, "the answer"))
	}
	return haft.Print(os.Stdout, s.json, shown, func(w io.Writer) {
		g := shown.Standing
		fmt.Fprintf(w, "member %s, view %d, leader %s, holds %v\nmembers %v, strangers %v\ndelivered %d of %d, on disk %d\n",
			g.ID, g.View, g.Leader, g.Holds, g.Members, g.Strangers, g.Commit, g.Last, g.Saved)
		fmt.Fprintf(w, "version %d, %d hosts, %d routers\n", shown.Version, shown.Hosts, shown.Routers)
		for name, l := range shown.Leads {
			fmt.Fprintf(w, "%s: led by %s, term %d, moving %v, fence %d\n", name, l.Host, l.Term, l.Moving, l.Fence)
		}
		for name, n := range shown.Counts {
			fmt.Fprintf(w, "%s %d\n", name, n)
		}
	})
}
