package gossip

import (
	"maps"
	"slices"
)

// Limits that bound the memory use and the work caused by received messages.
const (
	maxMembers      = 1024 // of other proxies, and of outstanding probes
	maxUpdates      = 64   // updates that are applied from one message
	maxNameBytes    = 128
	maxAddressBytes = 64
)

// Config has the parameters of the protocol. DefaultConfig returns suitable values.
type Config struct {
	ProbePeriodMs      int64 // protocol period: one proxy is probed per period, and a probe without an ack fails after it
	AckTimeoutMs       int64 // timeout for the direct ack, after which indirect probes are sent
	SuspicionTimeoutMs int64 // time that a suspected proxy has to refute the suspicion before it is declared dead
	DeadRetentionMs    int64 // time for which a dead proxy is retained
	IndirectProbes     int   // size of the failure detection subgroup (k of SWIM 3.1)
	MaxUpdates         int   // maximum number of updates piggybacked on one message
}

// DefaultConfig returns a configuration suitable for tens to hundreds of proxies.
func DefaultConfig() Config {
	return Config{
		ProbePeriodMs:      1000,
		AckTimeoutMs:       250,
		SuspicionTimeoutMs: 5000,
		DeadRetentionMs:    60000,
		IndirectProbes:     3,
		MaxUpdates:         6,
	}
}

// member is the state of another proxy.
type member struct {
	Update
	stateSince    int64 // time at which it entered its current state
	transmissions int   // number of messages that the update was piggybacked on
}

// Membership is one proxy's view of the other proxies. It is not safe for concurrent use. Use New to create one; the zero value is
// not usable.
type Membership struct {
	Config

	// Counters.

	DeclaredDead  int64 // proxies declared dead, by this proxy or by others
	Refuted       int64 // suspicions of this proxy that it refuted
	Probes        int64 // pings sent
	DiscardedAcks int64 // acks that match no outstanding probe, or from a proxy that was not asked for one

	self        Update // state of this proxy
	randomBelow func(n int) int
	now         int64 // latest time passed by the caller
	members     map[string]*member
	probes      map[uint64]*probe // outstanding probes, by serial
	lastSerial  uint64
	nextProbeAt int64
	probeQueue  []string // names of the proxies still to probe in this round

	controlMembers []string
	controlVersion uint64
}

// New returns the membership of a proxy that does not know any other proxies. incarnation must increase with each restart of the
// process. randomBelow(n) must return a random number in [0, n). now is the time in milliseconds, on a monotonic clock.
func New(name, address string, incarnation uint64, config Config, randomBelow func(n int) int, now int64) *Membership {
	return &Membership{
		Config:      config,
		self:        Update{Name: name, Address: address, Incarnation: incarnation},
		randomBelow: randomBelow,
		now:         now,
		members:     map[string]*member{},
		probes:      map[uint64]*probe{},
		lastSerial:  incarnation, // so that acks of pings from before a restart are discarded
		nextProbeAt: now + int64(randomBelow(int(config.ProbePeriodMs))),
	}
}

// AddSeeds pings the addresses that do not belong to a known proxy, to discover the proxies there.
func (m *Membership) AddSeeds(addresses []string, now int64) (out []Outgoing) {
	m.advance(now)
	for _, address := range addresses {
		if address != m.self.Address && !m.hasAddress(address) {
			out = append(out, m.ping(address, &probe{sentAt: m.now}))
		}
	}
	return out
}

func (m *Membership) hasAddress(address string) bool {
	for _, other := range m.members {
		if other.Address == address {
			return true
		}
	}
	return false
}

// AliveNames returns the sorted names of the proxies that are not dead, including this one.
func (m *Membership) AliveNames() []string {
	names := []string{m.self.Name}
	for name, other := range m.members {
		if other.State != Dead {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// AliveCount returns the number of proxies that are not dead, including this one.
func (m *Membership) AliveCount() int {
	count := 1
	for _, other := range m.members {
		if other.State != Dead {
			count++
		}
	}
	return count
}

// Lookup returns the latest update of another proxy. It returns false if the proxy is not known.
func (m *Membership) Lookup(name string) (Update, bool) {
	other := m.members[name]
	if other == nil {
		return Update{}, false
	}
	return other.Update, true
}

// HandleMessage handles a received message, and returns the messages to send in response.
func (m *Membership) HandleMessage(message Message, now int64) []Outgoing {
	m.advance(now)
	for _, update := range message.Updates[:min(len(message.Updates), maxUpdates)] {
		m.applyUpdate(update)
	}
	m.SetControlMembers(message.ControlMembers, message.ControlVersion)
	switch message.Type {
	case Ping:
		return []Outgoing{{message.From, m.newMessage(Ack, message.Serial)}}
	case PingRequest:
		return m.handlePingRequest(message)
	case Ack:
		return m.handleAck(message)
	}
	return nil
}

// Tick runs the actions that are due at a time, and returns the messages to send.
func (m *Membership) Tick(now int64) []Outgoing {
	m.advance(now)
	out := m.tickProbes()
	m.expireStates()
	return append(out, m.startProbe()...)
}

// minTickMs is the minimum interval between two ticks requested by NextTick.
const minTickMs = 20

// NextTick returns the time at which Tick has to be called next.
func (m *Membership) NextTick() int64 {
	next := m.nextProbeAt
	for _, p := range m.probes {
		if !p.indirectSent {
			next = min(next, p.sentAt+m.AckTimeoutMs)
		}
	}
	return max(next, m.now+minTickMs)
}

func (m *Membership) advance(now int64) { m.now = max(m.now, now) }

func (m *Membership) newMessage(messageType MessageType, serial uint64) Message {
	return Message{
		Type:           messageType,
		From:           m.self.Address,
		Serial:         serial,
		Updates:        m.piggyback(),
		ControlMembers: m.controlMembers,
		ControlVersion: m.controlVersion,
	}
}

// sortedNames returns the sorted names of all members. The order makes random choices depend only on the random numbers.
func (m *Membership) sortedNames() []string { return slices.Sorted(maps.Keys(m.members)) }
