// Package tier is the two levels of a large installation. Planners watch
// discovery, probe hosts and take what forwarders heard; forwarders serve clients
// by the decision module on the join of the planners' views.
//
//	discovery -> plan (planner: pure) -> link over line -> forward (follower: pure) -> routing -> rules
//	hosts' answers -> routing -> forward -> link -> plan
//
// view is the data that goes down, with its join; link is its form on the wire.
package tier
