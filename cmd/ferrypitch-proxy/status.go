package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/proxy"
)

// statusCommand queries a running proxy at the address of its readiness server.
var statusCommand = &cli.Status[proxy.Status]{
	Program:     "ferrypitch-proxy",
	Description: "show a running proxy's lease, sessions, hosts, other proxies and counters",
	Path:        proxy.StatusPath,
	PrintText:   printStatus,
}

func printStatus(w io.Writer, status proxy.Status) {
	fmt.Fprintf(w, "proxy %s, ready %v, configuration %d, log applied up to %d, lease for %d ms more\n",
		status.Node, status.Ready, status.ConfigVersion, status.AppliedIndex, status.LeaseRemainingMs)
	fmt.Fprintf(w, "%d sessions, %d statements in flight, control plane %v\n", status.Sessions, status.Statements, status.ControlMembers)
	for _, name := range slices.Sorted(maps.Keys(status.Services)) {
		service := status.Services[name]
		fmt.Fprintf(w, "%s: primary %s, revoked %v, position %s known %d ms ago\n",
			name, service.Primary, service.Revoked, service.Position, service.PositionAgeMs)
	}
	for _, id := range slices.Sorted(maps.Keys(status.Hosts)) {
		host := status.Hosts[id]
		fmt.Fprintf(w, "%s of %s at %s: %s, %d connections (%d idle, %d being opened, %d at most), %d statements queued\n",
			id, host.Service, host.Address, host.Standing, host.Conns, host.IdleConns, host.DialingConns, host.MaxConns, host.QueuedStatements)
	}
	for _, name := range status.Proxies {
		fmt.Fprintf(w, "proxy %s\n", name)
	}
	cli.Counters(w, status.Counters)
}
