// Package statemachine is the state that the ordered log builds: the configuration, the
// hosts, and who leads each service. Every member of the control plane and every router applies the same changes in
// the same order, so all hold the same.
//
//	Change -> Encode -> log -> Decode -> State.Apply -> Result
//
// Pure: no socket, no clock; the same changes give the same state.
package statemachine

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"

	"ferrypitch/internal/config"
	"ferrypitch/internal/control/statemachine/diskformat"
)

// Host is a database host as it told of itself.
type Host struct {
	ID, Service, Address, Zone string
	Generation                 string
	Capacity                   int64
	Draining                   bool
	Missing                    bool   // its process is gone, and others hold all that it had received
	Since                      uint64 // the change that brought it
}

// Lead is who leads a service. While Moving is set nobody may be sent what only a primary can do.
type Lead struct {
	Host   string
	Term   uint64
	Moving bool
	Fence  uint64 // rises with each holder of the duty
	Holder string // the member that carries a move out
	At     uint64 // the change that set Moving, or the lead
	To     string // who was named to the platform last, in this move; it may have been promoted
	Paused bool   // replicas were PAUSEd for a move, and not all are known to receive again
}

// State is what all changes up to Index have made. The zero value is the state before the first.
type State struct {
	Index  uint64
	Config []byte // as Config.Read gives it; empty: none
	Gen    int64
	Led    int64   // led time, in milliseconds
	Taken  []Taken // by base, so the newest last
	Hosts  map[string]Host
	Leads  map[string]Lead
	Gone   []Departure // the newest last
	// Owed are hosts that left and may alone have had what was acknowledged: until a new host at the address of one has its
	// log, or others are known to have reached all of it, the service is not given to another primary.
	Owed map[string]Host
	// Took is how many milliseconds the platform's last promotion took, from the call; 0: none was seen.
	Took int64
	// Routers are those that may hold leases, with the change that brought each.
	Routers map[string]uint64

	plan *config.Plan
	sum  [16]byte // of Config
}

// Change is one entry; one of its fields is set, beside Led.
type Change struct {
	Led       int64 // when it was proposed, in led time
	Configure *Configure
	Enter     *Host
	Drain     string
	Leave     string
	Recall    *Recall
	Named     *Named
	Lead      *NewLead
	Router    *Router
	Missing   string // a host that fail-over need not ask, until it says that it is there
	Resumed   string // a service whose replicas all receive again
}

// Router brings a router before it is granted its first lease, or takes out one that holds none any more.
type Router struct {
	Node string
	Gone bool
}

// Configure is an operator's configuration: a whole one, or an amendment. As it was sent, it has a Body; Pack makes of it
// what the log carries.
type Configure struct {
	Base  int64
	Amend bool
	Body  []byte
	Packed
}

// Recall takes the lead of a service back: whoever had it sends nothing more that only a primary can do.
type Recall struct{ Service, Holder string }

// Named notes which host is named to the platform, before it is. Where the service is not yet recalled, the host that
// leads goes on.
type Named struct{ Service, Host, Holder string }

// NewLead gives a service a primary.
type NewLead struct {
	Service, Host string
	Term          uint64
	Took          int64 // milliseconds from the call to the platform; 0: not seen
}

// Kinds of refusals.
var (
	ErrOther   = errors.New("another version is in place")
	ErrInvalid = errors.New("not valid")
	ErrUnknown = errors.New("not known")
	// ErrDiverged says that the state itself is not the one that a change builds on: it takes in nothing more, and is to be
	// restored from a snapshot.
	ErrDiverged = errors.New("this state is not what the change builds on")
)

// Encode is a change as the log holds it.
func Encode(c Change) []byte {
	if c.Configure != nil {
		return c.Configure.encode(c.Led)
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(changeToStored(c)); err != nil {
		panic(err) // its types are fixed
	}
	return b.Bytes()
}

// Decode reads a change.
func Decode(b []byte) (c Change, err error) {
	if len(b) > 0 && b[0] == packed {
		c.Configure, c.Led, err = decodeConfigure(b)
		return c, err
	}
	var stored diskformat.Change
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&stored); err != nil {
		return Change{}, err
	}
	return changeFromStored(stored), nil
}

// Snapshot is the state as bytes behind their digest; maps are written in order, so equal states give equal bytes.
func (s *State) Snapshot() []byte {
	flat := diskformat.State{Index: s.Index, Config: s.Config, Gen: s.Gen, Led: s.Led, Orders: packTaken(s.Taken), Took: s.Took}
	for _, d := range s.Gone {
		flat.Left = append(flat.Left, departureToStored(d))
	}
	for _, id := range slices.Sorted(maps.Keys(s.Hosts)) {
		flat.Hosts = append(flat.Hosts, hostToStored(s.Hosts[id]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Leads)) {
		flat.Names, flat.Leads = append(flat.Names, name), append(flat.Leads, leadToStored(s.Leads[name]))
	}
	for _, id := range slices.Sorted(maps.Keys(s.Owed)) {
		flat.Owed = append(flat.Owed, hostToStored(s.Owed[id]))
	}
	for _, name := range s.RouterNames() {
		flat.Routers, flat.Since = append(flat.Routers, name), append(flat.Since, s.Routers[name])
	}
	var b bytes.Buffer
	b.Write(make([]byte, len(marked)+16))
	if err := gob.NewEncoder(&b).Encode(flat); err != nil {
		panic(err)
	}
	sum := digestOf(b.Bytes()[len(marked)+16:])
	copy(b.Bytes(), marked)
	copy(b.Bytes()[len(marked):], sum[:])
	return b.Bytes()
}

// Restore reads a snapshot.
func Restore(b []byte) (*State, error) {
	s := &State{}
	if len(b) == 0 {
		return s, nil
	}
	if rest, ok := bytes.CutPrefix(b, []byte(marked)); ok { // those of older versions have none
		if len(rest) < 16 || digestOf(rest[16:]) != [16]byte(rest[:16]) {
			return nil, errors.New("a snapshot: its digest is another")
		}
		b = rest[16:]
	}
	var flat diskformat.State
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&flat); err != nil {
		return nil, err
	}
	if len(flat.Names) != len(flat.Leads) || len(flat.Routers) != len(flat.Since) {
		return nil, fmt.Errorf("a snapshot: %d services with %d leads", len(flat.Names), len(flat.Leads))
	}
	s.Index, s.Config, s.Gen, s.Led, s.Took = flat.Index, flat.Config, flat.Gen, flat.Led, flat.Took
	for _, d := range flat.Left {
		s.Gone = append(s.Gone, departureFromStored(d))
	}
	var err error
	if s.Taken, err = unpackTaken(flat.Orders); err != nil {
		return nil, err
	}
	for _, h := range flat.Hosts {
		s.host(hostFromStored(h))
	}
	for _, h := range flat.Owed {
		s.owe(hostFromStored(h))
	}
	for i, n := range flat.Names {
		s.lead(n, leadFromStored(flat.Leads[i]))
	}
	for i, n := range flat.Routers {
		s.router(n, flat.Since[i])
	}
	if len(s.Config) > 0 {
		p, err := config.Read(s.Config)
		if err != nil {
			return nil, fmt.Errorf("a snapshot: its configuration: %w", err)
		}
		s.plan, s.sum = p, digestOf(s.Config)
	}
	return s, nil
}

// Sum is the same for equal states.
func (s *State) Sum() uint32 { return crc32.ChecksumIEEE(s.Snapshot()) }

// Plan is the configuration in force; nil: none.
func (s *State) Plan() *config.Plan { return s.plan }

func (s *State) host(h Host) {
	if s.Hosts == nil {
		s.Hosts = map[string]Host{}
	}
	s.Hosts[h.ID] = h
}

func (s *State) owe(h Host) {
	if s.Owed == nil {
		s.Owed = map[string]Host{}
	}
	s.Owed[h.ID] = h
}

func (s *State) lead(name string, l Lead) {
	if s.Leads == nil {
		s.Leads = map[string]Lead{}
	}
	s.Leads[name] = l
}

func (s *State) router(name string, since uint64) {
	if s.Routers == nil {
		s.Routers = map[string]uint64{}
	}
	s.Routers[name] = since
}

// RouterNames are those that may hold leases, in order.
func (s *State) RouterNames() []string { return slices.Sorted(maps.Keys(s.Routers)) }

// Recalled is the newest change that took a lead back of those that are on the move; 0: none.
func (s *State) Recalled() (at uint64) {
	for _, l := range s.Leads {
		if l.Moving {
			at = max(at, l.At)
		}
	}
	return at
}

// Members are the ids of a service's hosts, in order.
func (s *State) Members(service string) (ids []string) {
	for id, h := range s.Hosts {
		if h.Service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// OwedOf are the ids of hosts that left a service and may alone have had something, in order.
func (s *State) OwedOf(service string) (ids []string) {
	for id, h := range s.Owed {
		if h.Service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Check says what a configuration sent now would meet, without taking it: nil and the plan; nil and none where the
// same was taken before; or why not.
func (s *State) Check(c *Configure) (*config.Plan, error) {
	if s.taken(c.Identity()) {
		return nil, nil
	}
	if c.Base != s.Gen {
		return nil, fmt.Errorf("%w: %d is, the change builds on %d", ErrOther, s.Gen, c.Base)
	}
	var plan *config.Plan
	var err error
	switch {
	case c.isPacked():
		plan, err = s.unpack(c)
	case c.Amend && len(s.Config) == 0:
		err = errors.New("nothing to amend")
	case c.Amend:
		plan, err = s.plan.Amend(c.Body)
	default:
		plan, err = config.Next(s.plan, c.Body)
	}
	if err == nil && (plan.Generation <= s.Gen) {
		err = fmt.Errorf("Generation: %d: not above %d", plan.Generation, s.Gen)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return plan, nil
}

// Apply takes in the change at an index. The error tells whoever proposed it why it changed nothing; changes at or
// before Index are passed over.
func (s *State) Apply(index uint64, c Change) error {
	if index <= s.Index {
		return nil
	}
	if c.Configure != nil && s.diverged(c.Configure) {
		return ErrDiverged
	}
	s.Index, s.Led = index, max(s.Led, c.Led)
	switch {
	case c.Configure != nil:
		plan, err := s.Check(c.Configure)
		if err != nil || plan == nil {
			return err
		}
		s.plan, s.Config, s.Gen, s.sum = plan, plan.Body, plan.Generation, whole(c.Configure, plan)
		s.take(c.Configure.Identity())
	case c.Enter != nil:
		h := *c.Enter
		if s.hasLeft(h.ID) {
			return fmt.Errorf("%w: %s has left", ErrUnknown, h.ID)
		}
		was, known := s.Hosts[h.ID]
		h.Since = index
		if known {
			h.Since, h.Draining = was.Since, was.Draining || h.Draining
		}
		if !known { // whoever was at its address has ended, whether it could say so or not
			for _, id := range slices.Sorted(maps.Keys(s.Hosts)) {
				if s.Hosts[id].Address == h.Address {
					s.leave(id)
				}
			}
		}
		for _, id := range s.OwedOf(h.Service) { // a new host takes the log that is at its address
			if s.Owed[id].Address == h.Address {
				delete(s.Owed, id)
			}
		}
		s.host(h)
	case c.Drain != "":
		h, known := s.Hosts[c.Drain]
		if !known {
			return fmt.Errorf("%w: %s", ErrUnknown, c.Drain)
		}
		h.Draining = true
		s.host(h)
	case c.Leave != "":
		s.leave(c.Leave)
	case c.Recall != nil:
		l := s.Leads[c.Recall.Service]
		if !l.Moving {
			l.Moving, l.At = true, index
		}
		if l.Holder != c.Recall.Holder || l.Fence == 0 {
			l.Holder, l.Fence = c.Recall.Holder, index
		}
		l.Paused = true
		s.lead(c.Recall.Service, l)
	case c.Named != nil:
		l := s.Leads[c.Named.Service]
		l.To, l.Paused = c.Named.Host, true
		if l.Holder != c.Named.Holder || l.Fence == 0 {
			l.Holder, l.Fence = c.Named.Holder, index
		}
		s.lead(c.Named.Service, l)
	case c.Resumed != "":
		if l, known := s.Leads[c.Resumed]; known && !l.Moving && l.To == "" {
			l.Paused = false
			s.lead(c.Resumed, l)
		}
	case c.Missing != "":
		delete(s.Owed, c.Missing)
		if h, known := s.Hosts[c.Missing]; known {
			h.Missing = true
			s.host(h)
		}
	case c.Router != nil && c.Router.Gone:
		delete(s.Routers, c.Router.Node)
	case c.Router != nil:
		s.router(c.Router.Node, index)
	case c.Lead != nil:
		if c.Lead.Took > 0 {
			s.Took = c.Lead.Took
		}
		l := s.Leads[c.Lead.Service]
		l.Host, l.Term, l.Moving, l.To, l.At = c.Lead.Host, max(l.Term, c.Lead.Term), false, "", index
		s.lead(c.Lead.Service, l)
	}
	return nil
}

// leave takes a host out.
func (s *State) leave(id string) {
	h, known := s.Hosts[id]
	if !known {
		return
	}
	if l, led := s.Leads[h.Service]; led && l.Host != id && !h.Missing { // what a primary acknowledged another has received
		s.owe(h)
	}
	delete(s.Hosts, id)
	s.depart(id)
}

// Rank orders hosts of a service by id, for where nothing else does.
func Rank(a, b Host) int { return cmp.Compare(a.ID, b.ID) }
