// Package proxy is a running proxy of the data plane (program ferrypitch-proxy): the
// sockets and the goroutine that owns the decision module, the sessions and the connections to hosts. Where a statement
// goes is decided by rules, what it must see by gauge, what a session may do by chuck, how long a lead may be acted on
// by vise.
//
//	client -> session (chuck) -> rules: which host -> host's connection -> answer -> client
//	control plane -> news (rack) -> hosts, routes and leads -> rules
package proxy
