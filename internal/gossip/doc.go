// Package gossip is the proxies' membership protocol: which other proxies are running, and who the members of the control plane
// are. It follows SWIM (A. Das, I. Gupta, A. Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", DSN 2002), whose load per process does not grow with the size of the group. Comments cite its sections.
//
//	received Message -> Membership.HandleMessage -> messages to send
//	time             -> Membership.Tick          -> messages to send
//	AliveNames, Lookup, ControlMembers           -> what is known
//
// The files follow the protocol's parts: probe.go detects failures, by ping and indirect ping; update.go applies and disseminates
// updates, which are piggybacked on those messages, with suspicion and incarnation numbers; control.go disseminates the membership
// of the control plane in the same way.
//
// The package is pure: the caller provides the time in milliseconds, random numbers and the transport.
package gossip
