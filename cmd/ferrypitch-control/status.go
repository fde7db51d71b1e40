package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/control"
)

// status asks a running member, at the address of its control calls.
var status = &cli.Status[control.Status]{Program: "ferrypitch-control", What: "show a running member's view, leads, moves and counters",
	Path: "/Member.Status", Text: func(w io.Writer, shown control.Status) {
		g := shown.Consensus
		fmt.Fprintf(w, "member %s, view %d, leader %s, holds %v\nmembers %v, learners %v\ndelivered %d of %d, on disk %d\n",
			g.ID, g.Term, g.Leader, g.HoldsLease, g.Members, g.Learners, g.CommitIndex, g.LastIndex, g.PersistedIndex)
		fmt.Fprintf(w, "version %d, %d hosts, %d routers\n", shown.Version, shown.Hosts, shown.Proxies)
		for _, name := range slices.Sorted(maps.Keys(shown.Primaries)) {
			l := shown.Primaries[name]
			fmt.Fprintf(w, "%s: led by %s, term %d, fence %d\n", name, l.Host, l.Term, l.FencingToken)
			switch m, moves := shown.Transitions[name]; {
			case moves && m.Planned:
				fmt.Fprintf(w, "  is handed over to %s, for %d ms\n", m.Nominee, m.ElapsedMs)
			case moves:
				fmt.Fprintf(w, "  was taken back %d ms ago, named %q, platform told %q, waits for %s\n", m.ElapsedMs, m.Nominee, m.PromotionRequested,
					strings.Join(m.WaitingFor, " "))
			case l.Revoked:
				fmt.Fprintf(w, "  was taken back; the member that leads says more\n")
			case l.ReplicasPaused:
				fmt.Fprintf(w, "  its replicas are told to receive again\n")
			}
		}
		for _, h := range shown.UnaccountedHosts {
			fmt.Fprintf(w, "owed: the log of %s at %s, of %s\n", h.ID, h.Address, h.Service)
		}
		for _, id := range shown.MissingHosts {
			fmt.Fprintf(w, "missing: %s, whose log others have\n", id)
		}
		cli.Counters(w, shown.Counters)
	}}
