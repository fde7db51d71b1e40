// Package tier documents the two tiers of a large installation. Planners watch
// discovery, probe hosts and collect what forwarders observe; forwarders serve
// clients, and decide on the merged views of all planners.
//
// Each tier is a pure core in a shell with sockets:
//
//   - planner is the core of a planner, and plan its shell.
//   - follower is the core of a forwarder's side, and forward its shell.
//   - view is the data that planners send: the state of the fleet, its changes
//     and how views are merged.
//   - link is the protocol between the tiers, on bytes alone; line carries it
//     over a connection.
//
// Data flows in both directions:
//
//	discovery -> plan (planner) -> line (link) -> forward (follower) -> routing
//	responses of hosts -> routing -> forward -> line (link) -> plan (planner)
package tier
