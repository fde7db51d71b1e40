// Package statesize builds control-plane states for benchmarks with a given number of proxies and databases. Each database
// has three hosts, and names and addresses are as long as in the deployments.
package statesize

import (
	"bytes"
	"fmt"

	"ferrypitch/internal/statemachine"
)

const (
	hostsPerDatabase  = 3
	routesPerDatabase = 3
	hostsPerSubnet    = 250
)

// Size is the number of proxies and databases.
type Size struct{ Proxies, Databases int }

// Full is the size that the figures in docs/CAPACITY.md refer to.
var Full = Size{1200, 2600}

// Sizes are the benchmarked sizes, with proxies and databases in the same proportion as in Full.
var Sizes = []Size{{30, 65}, {100, 217}, {300, 650}, Full}

// String returns the name of the size in benchmark results.
func (s Size) String() string { return fmt.Sprintf("proxies=%d", s.Proxies) }

// Hosts returns the number of hosts.
func (s Size) Hosts() int { return hostsPerDatabase * s.Databases }

// ServiceName returns the name of the nth database's service.
func ServiceName(n int) string { return fmt.Sprintf("lecture-core-%d", n) }

// HostAt returns the nth host of the state. The first of the three hosts of a service is its primary.
func HostAt(n int) statemachine.Host {
	service, place := n/hostsPerDatabase, n%hostsPerDatabase
	return statemachine.Host{
		ID:         fmt.Sprintf("lecture-core-%d-h%d-1", service, place),
		Service:    ServiceName(service),
		Address:    fmt.Sprintf("10.%d.%d.%d:5432", 10+place, service/hostsPerSubnet, 1+service%hostsPerSubnet),
		Zone:       "waco-hall",
		Generation: "g1",
		Capacity:   7,
		AddedIndex: uint64(n + 1),
	}
}

// ProxyName returns the nth proxy's name.
func ProxyName(n int) string { return fmt.Sprintf("edge-waco-hall-%d", n) }

// Config returns a configuration with one service for each database and a route of each kind to it. Generations differ only in
// the deadline of the first route.
func (s Size) Config(generation int64) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"Generation":%d,"Routes":[`, generation)
	for i := range routesPerDatabase * s.Databases {
		if i > 0 {
			body.WriteByte(',')
		}
		writeRoute(&body, i, generation)
	}
	body.WriteString(`],"Services":[`)
	for i := range s.Databases {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"Name":%q,"MaxConns":82,"SyncReplicas":1}`, ServiceName(i))
	}
	body.WriteString(`],"Limits":{"TxnIdleMs":5000}}`)
	return body.Bytes()
}

func writeRoute(body *bytes.Buffer, i int, generation int64) {
	kinds := [routesPerDatabase]string{`"leader"`, `"bounded_staleness","StalenessMs":1500`, `"owned","StalenessMs":2500`}
	deadlineMs := int64(2000)
	if i == 0 {
		deadlineMs += generation
	}
	fmt.Fprintf(body, `{"Name":"desk-%d","Host":"desk-%d.example","PathPrefix":"/","Kind":%s,"DeadlineMs":%d,"TargetMs":250,`+
		`"Priority":1,"Service":%q,"MaxTries":2}`, i, i, kinds[i%routesPerDatabase], deadlineMs, ServiceName(i/routesPerDatabase))
}

// ConfigUpdate returns the log entry for an operator's change of one route on top of a state. It panics if the state rejects
// the change.
func (s Size) ConfigUpdate(state *statemachine.State) statemachine.Change {
	update := &statemachine.ConfigUpdate{BaseVersion: state.Generation, Body: s.Config(state.Generation + 1)}
	config, err := state.CheckConfig(update)
	if err != nil {
		panic(err)
	}
	return statemachine.Change{UpdateConfig: state.MakeDelta(update, config)}
}

// State returns a state of the size, in which the first host of each database is its primary. Hosts and proxies are inserted
// directly, because applying one change for each of them takes time quadratic in the size.
func (s Size) State() *statemachine.State {
	state := &statemachine.State{}
	if err := state.Apply(1, statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{Body: s.Config(1)}}); err != nil {
		panic(err)
	}
	state.Hosts, state.Primaries = map[string]statemachine.Host{}, map[string]statemachine.Primary{}
	state.Proxies = map[string]uint64{}
	for n := range s.Hosts() {
		host := HostAt(n)
		state.Hosts[host.ID] = host
		state.Index++
		if n%hostsPerDatabase == 0 {
			state.Primaries[host.Service] = statemachine.Primary{Host: host.ID, Term: 1, ChangedIndex: state.Index}
		}
	}
	for n := range s.Proxies {
		state.Index++
		state.Proxies[ProxyName(n)] = state.Index
	}
	return state
}
