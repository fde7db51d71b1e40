// Package statesize makes control state of a given size, for benchmarks: so many routers before so many databases of three
// hosts each, with names and addresses as long as those of the deployments.
package statesize

import (
	"bytes"
	"fmt"

	"ferrypitch/internal/control/statemachine"
)

// Size is a size.
type Size struct{ Routers, Databases int }

// Full is the size that docs/CAPACITY.md is worked out for.
var Full = Size{1200, 2600}

// All are the sizes that are measured, in the proportion of Full.
var All = []Size{{30, 65}, {100, 217}, {300, 650}, Full}

func (e Size) String() string { return fmt.Sprintf("routers=%d", e.Routers) }

// Hosts is how many there are.
func (e Size) Hosts() int { return 3 * e.Databases }

// Service is a database's name.
func Service(i int) string { return fmt.Sprintf("lecture-core-%d", i) }

// Host is the nth of all; the first of each three leads.
func Host(n int) statemachine.Host {
	return statemachine.Host{ID: fmt.Sprintf("lecture-core-%d-h%d-1", n/3, n%3), Service: Service(n / 3),
		Address: fmt.Sprintf("10.%d.%d.%d:5432", 10+n%3, n/3/250, 1+n/3%250), Zone: "waco-hall", Generation: "g1", Capacity: 7,
		AddedAt: uint64(n + 1)}
}

// Router is the nth.
func Router(n int) string { return fmt.Sprintf("edge-waco-hall-%d", n) }

// Config is a configuration with a service for each database, and a route of each kind; the first route differs in each
// generation.
func (e Size) Config(generation int64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Generation":%d,"Routes":[`, generation)
	for i := range 3 * e.Databases {
		if i > 0 {
			b.WriteByte(',')
		}
		deadline := int64(2000)
		if i == 0 {
			deadline += generation
		}
		kind := [...]string{`"leader"`, `"bounded_staleness","StalenessMs":1500`, `"owned","StalenessMs":2500`}[i%3]
		fmt.Fprintf(&b, `{"Name":"desk-%d","Host":"desk-%d.example","PathPrefix":"/","Kind":%s,"DeadlineMs":%d,"TargetMs":250,`+
			`"Priority":1,"Service":%q,"MaxTries":2}`, i, i, kind, deadline, Service(i/3))
	}
	b.WriteString(`],"Services":[`)
	for i := range e.Databases {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Name":%q,"MaxConns":82,"SyncReplicas":1}`, Service(i))
	}
	b.WriteString(`],"Limits":{"TxnIdleMs":5000}}`)
	return b.Bytes()
}

// Order is an operator's change of one route, as the log carries it on top of a state.
func (e Size) Order(s *statemachine.State) statemachine.Change {
	c := &statemachine.ConfigUpdate{BaseVersion: s.Generation, Body: e.Config(s.Generation + 1)}
	plan, err := s.CheckConfig(c)
	if err != nil {
		panic(err)
	}
	return statemachine.Change{UpdateConfig: s.Delta(c, plan)}
}

// State holds all that, each database led by its first host. It is put together directly: applying as many changes takes
// time that grows with the square.
func (e Size) State() *statemachine.State {
	s := &statemachine.State{}
	if err := s.Apply(1, statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{Body: e.Config(1)}}); err != nil {
		panic(err)
	}
	s.Hosts, s.Primaries, s.Proxies = map[string]statemachine.Host{}, map[string]statemachine.Primary{}, map[string]uint64{}
	for n := range e.Hosts() {
		h := Host(n)
		s.Hosts[h.ID] = h
		if s.Index++; n%3 == 0 {
			s.Primaries[h.Service] = statemachine.Primary{Host: h.ID, Term: 1, ChangedAt: s.Index}
		}
	}
	for n := range e.Routers {
		s.Index++
		s.Proxies[Router(n)] = s.Index
	}
	return s
}
