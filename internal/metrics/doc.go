// Package metrics shows a process's figures over HTTP as text in the Prometheus format.
//
//	Family (name, help, kind)    Sample (its value now)    Source (all samples at one moment)
//	Serve -> GET /PATH -> Source -> text
//
// Nothing is gathered, allocated or locked before somebody asks: the figures stay where the process counts them, and a Source reads
// them. Names follow the conventions of the format: a namespace, units in the name (seconds, bytes), _total behind counters.
package metrics
