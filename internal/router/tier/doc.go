// Package tier documents the two tiers of a large deployment. Planners watch
// discovery, probe hosts and collect the observations of forwarders. Forwarders
// serve clients and decide on the merged views of all planners.
//
// Each tier has a state machine without I/O and a package that runs it on sockets:
//
//   - planner is the state machine of a planner; plannerserver is the server that
//     runs it.
//   - follower is the state machine of a forwarder's links to the planners;
//     plannerclient is the client that runs it.
//   - view is the data that planners send: the state of the fleet, its changes and
//     the merge of views.
//   - link is the protocol between the tiers, without I/O; linkconn implements it on
//     a network connection.
//
// Data flows in both directions:
//
//	discovery -> plannerserver (planner) -> linkconn (link) -> plannerclient (follower) -> routing
//	responses of hosts -> routing -> plannerclient -> linkconn (link) -> plannerserver (planner)
package tier
