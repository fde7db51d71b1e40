package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/control"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/statemachine"
)

// statusCommand queries a running member at the address of its API.
var statusCommand = &cli.Status[control.Status]{
	Program:     program,
	Description: "show a running member's log, primaries, failovers and switchovers in progress, and counters",
	Path:        "/Member.Status",
	PrintText:   printStatus,
}

func printStatus(w io.Writer, status control.Status) {
	log := status.Consensus
	fmt.Fprintf(w, "member %s, term %d, leader %s, holds the leader lease: %v\n", log.ID, log.Term, log.Leader, log.HoldsLease)
	fmt.Fprintf(w, "members %v, learners %v\n", log.Members, log.Learners)
	fmt.Fprintf(w, "committed %d of %d, persisted %d\n", log.CommitIndex, log.LastIndex, log.PersistedIndex)
	fmt.Fprintf(w, "version %d, %d hosts, %d proxies with a lease\n", status.Version, status.Hosts, status.Proxies)
	for _, service := range slices.Sorted(maps.Keys(status.Primaries)) {
		primary := status.Primaries[service]
		fmt.Fprintf(w, "%s: primary %s, term %d, fencing token %d\n", service, primary.Host, primary.Term, primary.FencingToken)
		transition, inProgress := status.Transitions[service]
		printTransition(w, primary, transition, inProgress)
	}
	for _, host := range status.UnaccountedHosts {
		fmt.Fprintf(w, "unaccounted: log of removed host %s at %s, service %s\n", host.ID, host.Address, host.Service)
	}
	for _, id := range status.MissingHosts {
		fmt.Fprintf(w, "missing: %s; other hosts have its log\n", id)
	}
	cli.Counters(w, status.Counters)
}

// printTransition prints a failover or switchover in progress. Only the leader knows its details.
func printTransition(w io.Writer, primary statemachine.Primary, transition failover.Transition, inProgress bool) {
	switch {
	case inProgress && transition.Planned:
		fmt.Fprintf(w, "  switchover to %s, for %d ms\n", transition.Nominee, transition.ElapsedMs)
	case inProgress:
		fmt.Fprintf(w, "  revoked %d ms ago, nominee %q, promotion requested of %q, waiting for %s\n",
			transition.ElapsedMs, transition.Nominee, transition.PromotionRequested, strings.Join(transition.WaitingFor, " "))
		if transition.AwaitedPosition != "" {
			fmt.Fprintf(w, "  no known host has position %s, which was acknowledged\n", transition.AwaitedPosition)
		}
	case primary.Revoked:
		fmt.Fprintln(w, "  revoked; ask the leader for details")
	case primary.ReplicasPaused:
		fmt.Fprintln(w, "  resuming replication on its replicas")
	}
}
