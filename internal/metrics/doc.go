// Package metrics exposes a process's metrics over HTTP in the Prometheus text format.
//
//	Family (name, help, kind)    Sample (its current value)    Source (all current samples)
//	Serve -> GET /PATH -> Source -> text format
//
// Nothing is gathered, allocated or locked between requests: the process keeps its own counters, and a Source reads them on each
// request. Names follow the Prometheus conventions: a namespace prefix, the unit in the name (seconds, bytes), and the suffix
// _total for counters.
package metrics
