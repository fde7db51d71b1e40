package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/proxy"
)

// status asks a running router, at the address at which the platform asks whether it is ready.
var status = &cli.Status[proxy.Status]{Program: "ferrypitch-proxy", What: "show a running router's lease, sessions, hosts, routers and counters",
	Path: "/Router.Status", Text: func(w io.Writer, shown proxy.Status) {
		fmt.Fprintf(w, "router %s, ready %v, version %d, log up to %d, lease for %d ms more\n", shown.Node, shown.Ready, shown.Version,
			shown.Index, shown.LeaseMs)
		fmt.Fprintf(w, "%d sessions, %d statements under way, control plane %v\n", shown.Sessions, shown.Calls, shown.Control)
		for _, name := range slices.Sorted(maps.Keys(shown.Services)) {
			s := shown.Services[name]
			fmt.Fprintf(w, "%s: led by %s, moving %v, floor %s known %d ms ago\n", name, s.Primary, s.Revoked, s.Floor, s.FloorMs)
		}
		for _, id := range slices.Sorted(maps.Keys(shown.Hosts)) {
			n := shown.Hosts[id]
			fmt.Fprintf(w, "%s of %s at %s: %s, %d connections (%d idle, %d coming, %d at most), %d statements wait\n", id, n.Service,
				n.Address, n.Standing, n.Conns, n.Idle, n.Opening, n.Most, n.Waiting)
		}
		for _, r := range shown.Proxies {
			fmt.Fprintf(w, "router at %s\n", r)
		}
		cli.Counters(w, shown.Counters)
	}}
