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
	AddedAt                    uint64 // the change that brought it
}

// Primary is who leads a service. While Moving is set nobody may be sent what only a primary can do.
type Primary struct {
	Host           string
	Term           uint64
	Revoked        bool
	FencingToken   uint64 // rises with each holder of the duty
	Owner          string // the member that carries a move out
	ChangedAt      uint64 // the change that set Moving, or the lead
	Nominee        string // who was named to the platform last, in this move; it may have been promoted
	ReplicasPaused bool   // replicas were PAUSEd for a move, and not all are known to receive again
}

// State is what all changes up to Index have made. The zero value is the state before the first.
type State struct {
	Index          uint64
	ConfigBody     []byte // as Config.Read gives it; empty: none
	Generation     int64
	LedTimeMs      int64           // led time, in milliseconds
	AppliedUpdates []AppliedUpdate // by base, so the newest last
	Hosts          map[string]Host
	Primaries      map[string]Primary
	RemovedHosts   []RemovedHost // the newest last
	// UnaccountedHosts are hosts that left and may alone have had what was acknowledged: until a new host at the address of one has its
	// log, or others are known to have reached all of it, the service is not given to another primary.
	UnaccountedHosts map[string]Host
	// LastPromotionMs is how many milliseconds the platform's last promotion took, from the call; 0: none was seen.
	LastPromotionMs int64
	// Proxies are those that may hold leases, with the change that brought each.
	Proxies map[string]uint64

	config       *config.Config
	configDigest [16]byte // of Config
}

// Change is one entry; one of its fields is set, beside Led.
type Change struct {
	LedTimeMs          int64 // when it was proposed, in led time
	UpdateConfig       *ConfigUpdate
	AddHost            *Host
	DrainHost          string
	RemoveHost         string
	RevokePrimary      *RevokePrimary
	NominatePrimary    *NominatePrimary
	AppointPrimary     *AppointPrimary
	Proxy              *ProxyMembership
	MarkMissing        string // a host that fail-over need not ask, until it says that it is there
	ReplicationResumed string // a service whose replicas all receive again
}

// ProxyMembership brings a router before it is granted its first lease, or takes out one that holds none any more.
type ProxyMembership struct {
	Node    string
	Removed bool
}

// ConfigUpdate is an operator's configuration: a whole one, or an amendment. As it was sent, it has a Body; Pack makes of it
// what the log carries.
type ConfigUpdate struct {
	BaseVersion int64
	IsAmendment bool
	Body        []byte
	ConfigDelta
}

// RevokePrimary takes the lead of a service back: whoever had it sends nothing more that only a primary can do.
type RevokePrimary struct{ Service, Owner string }

// NominatePrimary notes which host is named to the platform, before it is. Where the service is not yet recalled, the host that
// leads goes on.
type NominatePrimary struct{ Service, Host, Owner string }

// AppointPrimary gives a service a primary.
type AppointPrimary struct {
	Service, Host string
	Term          uint64
	PromotionMs   int64 // milliseconds from the call to the platform; 0: not seen
}

// Kinds of refusals.
var (
	ErrVersionConflict = errors.New("another version is in place")
	ErrInvalid         = errors.New("not valid")
	ErrNotFound        = errors.New("not known")
	// ErrDiverged says that the state itself is not the one that a change builds on: it takes in nothing more, and is to be
	// restored from a snapshot.
	ErrDiverged = errors.New("this state is not what the change builds on")
)

// EncodeChange is a change as the log holds it.
func EncodeChange(c Change) []byte {
	if c.UpdateConfig != nil {
		return c.UpdateConfig.encode(c.LedTimeMs)
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(changeToStored(c)); err != nil {
		panic(err) // its types are fixed
	}
	return b.Bytes()
}

// DecodeChange reads a change.
func DecodeChange(b []byte) (c Change, err error) {
	if len(b) > 0 && b[0] == configUpdateMarker {
		c.UpdateConfig, c.LedTimeMs, err = decodeConfigUpdate(b)
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
	flat := diskformat.State{Index: s.Index, Config: s.ConfigBody, Gen: s.Generation, Led: s.LedTimeMs, Orders: encodeAppliedUpdates(s.AppliedUpdates), Took: s.LastPromotionMs}
	for _, d := range s.RemovedHosts {
		flat.Left = append(flat.Left, removedHostToStored(d))
	}
	for _, id := range slices.Sorted(maps.Keys(s.Hosts)) {
		flat.Hosts = append(flat.Hosts, hostToStored(s.Hosts[id]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Primaries)) {
		flat.Names, flat.Leads = append(flat.Names, name), append(flat.Leads, primaryToStored(s.Primaries[name]))
	}
	for _, id := range slices.Sorted(maps.Keys(s.UnaccountedHosts)) {
		flat.Owed = append(flat.Owed, hostToStored(s.UnaccountedHosts[id]))
	}
	for _, name := range s.ProxyNames() {
		flat.Routers, flat.Since = append(flat.Routers, name), append(flat.Since, s.Proxies[name])
	}
	var b bytes.Buffer
	b.Write(make([]byte, len(snapshotMagic)+16))
	if err := gob.NewEncoder(&b).Encode(flat); err != nil {
		panic(err)
	}
	sum := digestOf(b.Bytes()[len(snapshotMagic)+16:])
	copy(b.Bytes(), snapshotMagic)
	copy(b.Bytes()[len(snapshotMagic):], sum[:])
	return b.Bytes()
}

// Restore reads a snapshot.
func Restore(b []byte) (*State, error) {
	s := &State{}
	if len(b) == 0 {
		return s, nil
	}
	if rest, ok := bytes.CutPrefix(b, []byte(snapshotMagic)); ok { // those of older versions have none
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
	s.Index, s.ConfigBody, s.Generation, s.LedTimeMs, s.LastPromotionMs = flat.Index, flat.Config, flat.Gen, flat.Led, flat.Took
	for _, d := range flat.Left {
		s.RemovedHosts = append(s.RemovedHosts, removedHostFromStored(d))
	}
	var err error
	if s.AppliedUpdates, err = decodeAppliedUpdates(flat.Orders); err != nil {
		return nil, err
	}
	for _, h := range flat.Hosts {
		s.putHost(hostFromStored(h))
	}
	for _, h := range flat.Owed {
		s.putUnaccountedHost(hostFromStored(h))
	}
	for i, n := range flat.Names {
		s.putPrimary(n, primaryFromStored(flat.Leads[i]))
	}
	for i, n := range flat.Routers {
		s.putProxy(n, flat.Since[i])
	}
	if len(s.ConfigBody) > 0 {
		p, err := config.Read(s.ConfigBody)
		if err != nil {
			return nil, fmt.Errorf("a snapshot: its configuration: %w", err)
		}
		s.config, s.configDigest = p, digestOf(s.ConfigBody)
	}
	return s, nil
}

// Checksum is the same for equal states.
func (s *State) Checksum() uint32 { return crc32.ChecksumIEEE(s.Snapshot()) }

// Config is the configuration in force; nil: none.
func (s *State) Config() *config.Config { return s.config }

func (s *State) putHost(h Host) {
	if s.Hosts == nil {
		s.Hosts = map[string]Host{}
	}
	s.Hosts[h.ID] = h
}

func (s *State) putUnaccountedHost(h Host) {
	if s.UnaccountedHosts == nil {
		s.UnaccountedHosts = map[string]Host{}
	}
	s.UnaccountedHosts[h.ID] = h
}

func (s *State) putPrimary(name string, l Primary) {
	if s.Primaries == nil {
		s.Primaries = map[string]Primary{}
	}
	s.Primaries[name] = l
}

func (s *State) putProxy(name string, since uint64) {
	if s.Proxies == nil {
		s.Proxies = map[string]uint64{}
	}
	s.Proxies[name] = since
}

// ProxyNames are those that may hold leases, in order.
func (s *State) ProxyNames() []string { return slices.Sorted(maps.Keys(s.Proxies)) }

// LatestRevocation is the newest change that took a lead back of those that are on the move; 0: none.
func (s *State) LatestRevocation() (at uint64) {
	for _, l := range s.Primaries {
		if l.Revoked {
			at = max(at, l.ChangedAt)
		}
	}
	return at
}

// HostIDs are the ids of a service's hosts, in order.
func (s *State) HostIDs(service string) (ids []string) {
	for id, h := range s.Hosts {
		if h.Service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// UnaccountedHostIDs are the ids of hosts that left a service and may alone have had something, in order.
func (s *State) UnaccountedHostIDs(service string) (ids []string) {
	for id, h := range s.UnaccountedHosts {
		if h.Service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// CheckConfig says what a configuration sent now would meet, without taking it: nil and the plan; nil and none where the
// same was taken before; or why not.
func (s *State) CheckConfig(c *ConfigUpdate) (*config.Config, error) {
	if s.alreadyApplied(c.RequestID()) {
		return nil, nil
	}
	if c.BaseVersion != s.Generation {
		return nil, fmt.Errorf("%w: %d is, the change builds on %d", ErrVersionConflict, s.Generation, c.BaseVersion)
	}
	var plan *config.Config
	var err error
	switch {
	case c.hasDelta():
		plan, err = s.applyDelta(c)
	case c.IsAmendment && len(s.ConfigBody) == 0:
		err = errors.New("nothing to amend")
	case c.IsAmendment:
		plan, err = s.config.Amend(c.Body)
	default:
		plan, err = config.ReadNext(s.config, c.Body)
	}
	if err == nil && (plan.Generation <= s.Generation) {
		err = fmt.Errorf("Generation: %d: not above %d", plan.Generation, s.Generation)
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
	if c.UpdateConfig != nil && s.diverged(c.UpdateConfig) {
		return ErrDiverged
	}
	s.Index, s.LedTimeMs = index, max(s.LedTimeMs, c.LedTimeMs)
	switch {
	case c.UpdateConfig != nil:
		plan, err := s.CheckConfig(c.UpdateConfig)
		if err != nil || plan == nil {
			return err
		}
		s.config, s.ConfigBody, s.Generation, s.configDigest = plan, plan.Body, plan.Generation, resultDigest(c.UpdateConfig, plan)
		s.recordUpdate(c.UpdateConfig.RequestID())
	case c.AddHost != nil:
		h := *c.AddHost
		if s.wasRemoved(h.ID) {
			return fmt.Errorf("%w: %s has left", ErrNotFound, h.ID)
		}
		was, known := s.Hosts[h.ID]
		h.AddedAt = index
		if known {
			h.AddedAt, h.Draining = was.AddedAt, was.Draining || h.Draining
		}
		if !known { // whoever was at its address has ended, whether it could say so or not
			for _, id := range slices.Sorted(maps.Keys(s.Hosts)) {
				if s.Hosts[id].Address == h.Address {
					s.removeHost(id)
				}
			}
		}
		for _, id := range s.UnaccountedHostIDs(h.Service) { // a new host takes the log that is at its address
			if s.UnaccountedHosts[id].Address == h.Address {
				delete(s.UnaccountedHosts, id)
			}
		}
		s.putHost(h)
	case c.DrainHost != "":
		h, known := s.Hosts[c.DrainHost]
		if !known {
			return fmt.Errorf("%w: %s", ErrNotFound, c.DrainHost)
		}
		h.Draining = true
		s.putHost(h)
	case c.RemoveHost != "":
		s.removeHost(c.RemoveHost)
	case c.RevokePrimary != nil:
		l := s.Primaries[c.RevokePrimary.Service]
		if !l.Revoked {
			l.Revoked, l.ChangedAt = true, index
		}
		if l.Owner != c.RevokePrimary.Owner || l.FencingToken == 0 {
			l.Owner, l.FencingToken = c.RevokePrimary.Owner, index
		}
		l.ReplicasPaused = true
		s.putPrimary(c.RevokePrimary.Service, l)
	case c.NominatePrimary != nil:
		l := s.Primaries[c.NominatePrimary.Service]
		l.Nominee, l.ReplicasPaused = c.NominatePrimary.Host, true
		if l.Owner != c.NominatePrimary.Owner || l.FencingToken == 0 {
			l.Owner, l.FencingToken = c.NominatePrimary.Owner, index
		}
		s.putPrimary(c.NominatePrimary.Service, l)
	case c.ReplicationResumed != "":
		if l, known := s.Primaries[c.ReplicationResumed]; known && !l.Revoked && l.Nominee == "" {
			l.ReplicasPaused = false
			s.putPrimary(c.ReplicationResumed, l)
		}
	case c.MarkMissing != "":
		delete(s.UnaccountedHosts, c.MarkMissing)
		if h, known := s.Hosts[c.MarkMissing]; known {
			h.Missing = true
			s.putHost(h)
		}
	case c.Proxy != nil && c.Proxy.Removed:
		delete(s.Proxies, c.Proxy.Node)
	case c.Proxy != nil:
		s.putProxy(c.Proxy.Node, index)
	case c.AppointPrimary != nil:
		if c.AppointPrimary.PromotionMs > 0 {
			s.LastPromotionMs = c.AppointPrimary.PromotionMs
		}
		l := s.Primaries[c.AppointPrimary.Service]
		l.Host, l.Term, l.Revoked, l.Nominee, l.ChangedAt = c.AppointPrimary.Host, max(l.Term, c.AppointPrimary.Term), false, "", index
		s.putPrimary(c.AppointPrimary.Service, l)
	}
	return nil
}

// removeHost takes a host out.
func (s *State) removeHost(id string) {
	h, known := s.Hosts[id]
	if !known {
		return
	}
	if l, led := s.Primaries[h.Service]; led && l.Host != id && !h.Missing { // what a primary acknowledged another has received
		s.putUnaccountedHost(h)
	}
	delete(s.Hosts, id)
	s.recordRemoval(id)
}

// CompareHosts orders hosts of a service by id, for where nothing else does.
func CompareHosts(a, b Host) int { return cmp.Compare(a.ID, b.ID) }
