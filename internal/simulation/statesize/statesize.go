// Package statesize builds control-plane states of given sizes for benchmarks: so many proxies and databases, each
// database with three hosts, and names and addresses as long as those of the deployments.
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

// Full is the size that docs/CAPACITY.md is worked out for.
var Full = Size{1200, 2600}

// Sizes are the sizes that are measured, in the proportion of Full.
var Sizes = []Size{{30, 65}, {100, 217}, {300, 650}, Full}

// String names the size in benchmark results.
func (s Size) String() string { return fmt.Sprintf("proxies=%d", s.Proxies) }

// Hosts returns the number of hosts.
func (s Size) Hosts() int { return hostsPerDatabase * s.Databases }

// ServiceName returns the name of the nth database's service.
func ServiceName(n int) string { return fmt.Sprintf("lecture-core-%d", n) }

// HostAt returns the nth host of all. The first of each three is the primary of their service.
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

// Config returns a configuration with a service for each database and a route of each kind to it. Generations differ in
// the first route's deadline.
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

// ConfigUpdate returns an operator's change of one route on top of a state, as the log carries it. It panics if the state does
// not accept the change.
func (s Size) ConfigUpdate(state *statemachine.State) statemachine.Change {
	update := &statemachine.ConfigUpdate{BaseVersion: state.Generation, Body: s.Config(state.Generation + 1)}
	config, err := state.CheckConfig(update)
	if err != nil {
		panic(err)
	}
	return statemachine.Change{UpdateConfig: state.MakeDelta(update, config)}
}

// State returns a state of the size, in which the first host of each database is its primary. Hosts and proxies are put
// in directly: the time to apply a change for each would grow with the square of the size.
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
