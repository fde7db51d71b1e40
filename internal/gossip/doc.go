// Package gossip implements the membership protocol of the proxies: it tracks which other proxies are alive, and the addresses of
// the control-plane members. It follows SWIM (A. Das, I. Gupta, A. Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", DSN 2002), in which the load per process does not grow with the size of the group. Comments
// cite sections of the paper.
//
//	received Message -> Membership.HandleMessage -> messages to send
//	time             -> Membership.Tick          -> messages to send
//	AliveNames, Lookup, ControlMembers           -> current view
//
// Files: probe.go detects failures by direct and indirect pings; update.go applies updates and disseminates them, piggybacked on
// those messages, and implements suspicion and incarnation numbers; control.go disseminates the membership of the control plane in
// the same way.
//
// The package is pure: the caller provides the time in milliseconds, random numbers and the transport.
package gossip
