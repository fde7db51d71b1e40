package control

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/scheduler"
)

var partitionSeeds = flag.Int("cutseeds", 100, "worlds of members that are cut off")

// A cutWorld is members of the control plane whose clocks run apart, on a network that cuts one way or both, silently,
// with resets or with refusals, and brings some messages many seconds late; operators that send orders, the same again
// where no answer comes, and read; and routers that ask for leases. Faults come with no budget: whatever is lost, at
// most one member holds, no answer, refusal or confirmation is wrong, and no lease outlives its account.
type partitionCluster struct {
	*scheduler.Scheduler
	members          []*partitionMember
	proxies          []*partitionProxy
	operators        []*partitionOperator
	drift            float64
	removedSafeguard string // a defence taken out
	calm             bool
	operatorsStopped bool     // operators send nothing more
	delayed          []func() // messages that come once the cuts are over

	applied          []appliedVersion // versions that were taken, in order; the first is none
	confirmed        int
	conflicts        int
	reads            int
	delayedResponses int // late ones: those of a member that stood still between judging and answering
	leases           int
}

type appliedVersion struct {
	generation     int64
	digest         [16]byte
	appliedAt      int64 // first seen at a member
	acknowledgedAt int64 // first told to a caller; 0: not yet
}

type partitionMember struct {
	cluster      *partitionCluster
	ip           string
	server       *Server
	up           bool
	frozen       bool
	incarnation  int
	clockRate    float64
	startedAt    int64
	identity     storage.Identity
	disk         consensus.RestoredState
	unsynced     []consensus.Write
	checkedIndex uint64 // the index that was looked at last
	suspended    []func()
	blocked      map[string]string // to whom nothing gets, and how: silent or late
	links        map[*partitionLink]bool
}

func newPartitionCluster(seed uint64, size, routers int, drift float64, removedSafeguard string) *partitionCluster {
	c := &partitionCluster{Scheduler: scheduler.New(seed, 1<<30, 1), drift: drift, removedSafeguard: removedSafeguard, applied: []appliedVersion{{acknowledgedAt: 1}}}
	var founders []consensus.ID
	for i := range size {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for i := range size {
		m := &partitionMember{cluster: c, ip: string(founders[i]), identity: storage.Identity{ID: founders[i], Founders: founders}, blocked: map[string]string{}}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.start()
	}
	for i := range routers {
		r := &partitionProxy{cluster: c, name: fmt.Sprintf("r%d", i), clockRate: c.clockRate()}
		c.proxies = append(c.proxies, r)
		r.start()
	}
	for i := range 3 {
		o := &partitionOperator{cluster: c, number: i}
		c.operators = append(c.operators, o)
		c.After(c.Between(300, 900), o.next)
	}
	return c
}

func (c *partitionCluster) clockRate() float64 { return 1 + c.drift*(2*c.Rand.Float64()-1) }

func (m *partitionMember) start() {
	c := m.cluster
	m.incarnation++
	m.up, m.frozen, m.suspended, m.unsynced, m.links = true, false, nil, nil, map[*partitionLink]bool{}
	m.clockRate, m.startedAt, m.checkedIndex = c.clockRate(), c.Now, 0
	nodeSettings := &settings.Settings{Node: "n" + m.ip, Ip: m.ip, Zone: "z", BeatMs: 1200}
	nodeSettings.FaultBudget.Machines = len(c.members) / 2
	nodeSettings.Listen.Control = m.ip + ":8080"
	for _, seed := range c.members[:3] {
		nodeSettings.SeedPeers = append(nodeSettings.SeedPeers, seed.ip+":8080")
	}
	restored := m.disk
	restored.Entries = slices.Clone(restored.Entries)
	server, err := New(nodeSettings, hclog.NewNullLogger(), eventloop.NewSteadyClock(m.time), m.identity, restored, c.Rand.Float64, uint64(m.incarnation))
	if err != nil {
		panic(err)
	}
	incarnation := m.incarnation
	m.server = server
	server.SetEnvironment(Environment{
		Send:      m.send,
		Persist:   func(x []consensus.Write) { m.persist(incarnation, x) },
		QueryHost: func(failover.HostQuery, statemachine.Host) {},
		Promote:   func(failover.Promotion) {},
	})
	m.tick(incarnation)
}

// time is the member's steady clock.
func (m *partitionMember) time() time.Time {
	return time.Unix(1e9, 0).Add(time.Duration(float64(m.cluster.Now-m.startedAt) * m.clockRate * 1e6))
}

func (m *partitionMember) run(incarnation int, what func()) {
	switch {
	case !m.up || m.incarnation != incarnation:
	case m.frozen:
		m.suspended = append(m.suspended, what)
	default:
		what()
		m.cluster.checkInvariants()
	}
}

func (m *partitionMember) tick(incarnation int) {
	c := m.cluster
	after := int64(50 / m.clockRate)
	if c.OneIn(40) {
		after += c.Between(0, 150) // timers are late
	}
	c.After(after, func() {
		m.run(incarnation, func() {
			m.server.Tick()
			m.tick(incarnation)
		})
	})
}

func (m *partitionMember) send(ip string, frame *rpc.Frame) {
	c := m.cluster
	for _, to := range c.members {
		if to.ip == ip && to != m {
			c.deliver(m, to, frame)
		}
	}
}

func (c *partitionCluster) deliver(m, to *partitionMember, f *rpc.Frame) {
	how := m.blocked[to.ip]
	took := c.Between(1, 4)
	if !c.calm && c.OneIn(60) {
		took = c.Between(5, 900)
	}
	if !c.calm && c.OneIn(150) {
		took = c.Between(900, 20000) // long after what it answers
	}
	bring := func() {
		if f.Consensus != nil && c.removedSafeguard != "" {
			msg := *f.Consensus
			f = &rpc.Frame{Consensus: &msg}
			switch {
			case c.removedSafeguard == "sent" && msg.Type == consensus.MsgHeartbeatResponse: // counted from the answer
				f.Consensus.SentAtMs = 1 << 60
			case c.removedSafeguard == "lease" && msg.Type == consensus.MsgVoteRequest:
				f.Consensus.LeadershipTransfer = true
			}
		}
		to.run(to.incarnation, func() { to.server.HandleFrame(m.ip, f) })
	}
	switch {
	case how == "late" && !c.OneIn(3):
		c.delayed = append(c.delayed, bring)
	case how != "":
	default:
		c.After(took, bring)
	}
}

func (m *partitionMember) persist(incarnation int, writes []consensus.Write) {
	c := m.cluster
	m.unsynced = append(m.unsynced, writes...)
	sequence := writes[len(writes)-1].Seq
	duration := c.Between(0, 5)
	if !c.calm && c.OneIn(80) {
		duration = c.Between(50, 600)
	}
	c.After(duration, func() {
		m.run(incarnation, func() {
			for len(m.unsynced) > 0 && m.unsynced[0].Seq <= sequence {
				m.disk.ApplyWrite(m.unsynced[0])
				m.unsynced = m.unsynced[1:]
			}
			m.server.Persisted(sequence)
		})
	})
}

func (m *partitionMember) crash(powerLoss bool) {
	m.up = false
	for _, write := range m.unsynced {
		if powerLoss || m.cluster.OneIn(2) {
			break
		}
		m.disk.ApplyWrite(write)
	}
	m.unsynced = nil
	for link := range m.links {
		link.close()
	}
}

func (m *partitionMember) freeze(span int64) {
	c, incarnation := m.cluster, m.incarnation
	if m.frozen || !m.up {
		return
	}
	m.frozen = true
	c.After(span, func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		m.frozen = false
		for len(m.suspended) > 0 && m.up && !m.frozen {
			do := m.suspended[0]
			m.suspended = m.suspended[1:]
			m.run(incarnation, do)
		}
	})
}

// call brings a call to a member; the answer may be held up by a freeze of the process that has judged already.
func (m *partitionMember) call(method, path, base string, body []byte, respond func(int, []byte)) {
	c, incarnation := m.cluster, m.incarnation
	c.After(c.Between(1, 4), func() {
		m.run(incarnation, func() {
			delayedRespond := func(status int, b []byte) {
				if !c.calm && c.OneIn(60) {
					c.delayedResponses++
					m.freeze(c.Between(20, 3000))
				}
				m.run(incarnation, func() { c.After(c.Between(1, 4), func() { respond(status, b) }) })
			}
			if c.removedSafeguard == "holds" && m.server.leading { // whoever led last judges
				c, id, _ := findEndpoint(method, path)
				c.handle(m.server, id, apiCall{method, path, base, body}, delayedRespond)
				return
			}
			m.server.HandleCall(method, path, base, body, delayedRespond)
		})
	})
}

// checkInvariants looks at all members after each step: the versions taken form one chain, one member at most holds, and no
// router acts on what the one that holds counts as handed back.
func (c *partitionCluster) checkInvariants() {
	holder := (*partitionMember)(nil)
	for _, m := range c.members {
		if !m.up {
			continue
		}
		c.checkApplied(m)
		if m.server.consensus.HoldsLease(m.server.clock.Now()) { // one that stands still, too: it may go on at any moment
			if holder != nil {
				c.Violate("%s and %s both hold a view", holder.ip, m.ip)
			}
			holder = m
		}
	}
	if holder == nil || !holder.server.leading {
		return
	}
	f := holder.server
	now, index := f.clock.Now(), f.state.Index
	for _, r := range c.proxies {
		if r.applied < index && r.hasLease() && f.grantor.AllCaughtUp(index, f.state.ProxyNames(), now) {
			c.Violate("%s acts on %d under a lease, %s holds %d for handed back", r.name, r.applied, holder.ip, index)
		}
	}
}

func (c *partitionCluster) checkApplied(m *partitionMember) {
	if m.checkedIndex == m.server.state.Index {
		return
	}
	m.checkedIndex = m.server.state.Index
	all := m.server.state.AppliedUpdates
	if len(all) == 0 {
		return
	}
	first := max(1, slices.IndexFunc(c.applied, func(l appliedVersion) bool { return l.digest == all[0].Digest })) // older ones are forgotten
	for i, t := range all {
		gen := m.server.state.Generation // what the next one builds on
		if i+1 < len(all) {
			gen = all[i+1].BaseVersion
		}
		switch at := first + i; {
		case at >= len(c.applied):
			c.applied = append(c.applied, appliedVersion{generation: gen, digest: t.Digest, appliedAt: c.Now})
		case c.applied[at].generation != gen || c.applied[at].digest != t.Digest:
			c.Violate("%s took %d in place %d, where %d was", m.ip, gen, at, c.applied[at].generation)
		}
	}
}

// newestAcknowledged is the last version that was told to any caller by a moment, as a place in the chain.
func (c *partitionCluster) newestAcknowledged(by int64) int {
	for i := len(c.applied) - 1; i > 0; i-- {
		if k := c.applied[i].acknowledgedAt; k > 0 && k <= by {
			return i
		}
	}
	return 0
}

func (c *partitionCluster) acknowledge(i int) {
	if c.applied[i].acknowledgedAt == 0 {
		c.applied[i].acknowledgedAt = c.Now
	}
}

// partitionOperator sends one order after another, each until it has a clear answer, and reads between.
type partitionOperator struct {
	cluster      *partitionCluster
	number       int
	updates      int
	knownVersion int64
	after        int // calls that came back
}

func (o *partitionOperator) next() {
	if o.cluster.operatorsStopped {
		return
	}
	o.read(func() {
		o.updates++
		gen := o.knownVersion + o.cluster.Between(1, 3)
		body := fmt.Sprintf(`{"Generation":%d,"Routes":[{"Name":"o%d.%d","Host":"h","PathPrefix":"/","Kind":"leader","DeadlineMs":500,"TargetMs":100,"Priority":1,"Service":"db","MaxTries":1}],"Services":[{"Name":"db","MaxConns":5}]}`, gen, o.number, o.updates)
		o.update(o.knownVersion, gen, []byte(body), 0, o.cluster.Now)
	})
}

// call makes a call to some member; no answer within a second is none.
func (o *partitionOperator) call(method, path, base string, body []byte, done func(came int64, status int, b []byte)) {
	c := o.cluster
	came, over := c.Now, false
	end := func(status int, b []byte) {
		if !over {
			over = true
			done(came, status, b)
		}
	}
	m := c.members[c.Rand.IntN(len(c.members))]
	if m.up {
		m.call(method, path, base, body, func(status int, b []byte) {
			c.checkResponse(path, base, body, came, status, b)
			if c.calm || !c.OneIn(8) { // it may be lost on its way
				end(status, b)
			}
		})
	} else {
		c.After(2, func() { end(0, nil) })
	}
	c.After(1000, func() { end(0, nil) })
}

// checkResponse compares an answer with what was true while its call was under way, whether it reaches the caller or not.
func (c *partitionCluster) checkResponse(path, base string, body []byte, came int64, status int, b []byte) {
	of := sumOf(body)
	if path == "/Config.Read" {
		of = sumOf(b)
	}
	switch {
	case status == http.StatusServiceUnavailable:
	case path == "/Config.Read" && status == http.StatusNotFound:
		if c.newestAcknowledged(came) > 0 {
			c.Violate("STALE: a read finds nothing, after %d was told", c.applied[c.newestAcknowledged(came)].generation)
		}
	case path == "/Config.Read":
		c.reads++
		i := slices.IndexFunc(c.applied, func(l appliedVersion) bool { return l.digest == of })
		if i < 0 || i < c.newestAcknowledged(came) {
			c.Violate("STALE: a read that came at %d gives place %d, %d was told", came-c.Zero, i, c.newestAcknowledged(came))
			return
		}
		c.acknowledge(i)
	case status == http.StatusOK:
		i := slices.IndexFunc(c.applied, func(l appliedVersion) bool { return l.digest == of })
		if i < 0 {
			c.Violate("LOST: an order is confirmed and was not taken")
			return
		}
		c.confirmed++
		c.acknowledge(i)
	case status == http.StatusPreconditionFailed:
		c.conflicts++
		taken := slices.IndexFunc(c.applied, func(l appliedVersion) bool { return l.digest == of })
		if taken > 0 && c.applied[taken].appliedAt <= came {
			c.Violate("REFUSED: an order that was taken")
		}
		was := slices.IndexFunc(c.applied, func(l appliedVersion) bool { return fmt.Sprint(l.generation) == base })
		if was < 0 || was == len(c.applied)-1 { // the version that it builds on was in place all the time
			c.Violate("REFUSED: 412 to an order on %s, which is the newest", base)
		}
	default:
		c.Violate("REFUSED: %d to %s: %s", status, path, b)
	}
}

func sumOf(body []byte) (sum [16]byte) {
	h := blake3.New()
	h.Write(body)
	copy(sum[:], h.Sum(nil))
	return sum
}

func (o *partitionOperator) read(done func()) {
	o.call(http.MethodGet, "/Config.Read", "", nil, func(_ int64, status int, b []byte) {
		switch status {
		case http.StatusOK:
			var c struct{ Generation int64 }
			if json.Unmarshal(b, &c) == nil {
				o.knownVersion = c.Generation
			}
			done()
		case http.StatusNotFound:
			o.knownVersion = 0
			done()
		default:
			o.cluster.After(o.cluster.Between(20, 200), func() { o.read(done) })
		}
	})
}

func (o *partitionOperator) update(base, gen int64, body []byte, turn int, since int64) {
	c := o.cluster
	o.call(http.MethodPost, "/Config.Replace", fmt.Sprint(base), body, func(_ int64, status int, _ []byte) {
		switch {
		case status == http.StatusOK || status == http.StatusPreconditionFailed || status == http.StatusBadRequest:
			c.After(c.Between(20, 700), o.next)
		default:
			c.After(c.Between(20, 100+50*int64(min(turn, 8))), func() { o.update(base, gen, body, turn+1, since) })
		}
	})
}

// partitionProxy follows a member that leads, and asks for leases.
type partitionProxy struct {
	cluster     *partitionCluster
	name        string
	clockRate   float64
	incarnation uint64
	lease       lease.Holder
	state       *statemachine.State
	applied     uint64
	link        *partitionLink
	attempts    int
	slow        map[string]bool
}

func (p *partitionProxy) start() {
	p.incarnation++
	p.lease, p.state, p.applied, p.slow = lease.Holder{}, &statemachine.State{}, 0, map[string]bool{}
	p.connectNext(p.incarnation)
}

func (p *partitionProxy) now() int64 {
	return 1<<30 + int64(float64(p.cluster.Now-p.cluster.Zero)*p.clockRate)
}
func (p *partitionProxy) hasLease() bool { return p.lease.Valid(p.now()) }

func (p *partitionProxy) connectNext(incarnation uint64) {
	if p.incarnation != incarnation {
		return
	}
	p.attempts++
	p.connect(p.cluster.members[p.attempts%len(p.cluster.members)])
}

type partitionLink struct {
	proxy             *partitionProxy
	member            *partitionMember
	proxyIncarnation  uint64
	memberIncarnation int
	conn              *ProxyConn
	closed            bool
	receivedAt        int64
	requestedAt       map[uint64]int64
	lastSerial        uint64
	memberArrivesAt   int64
	proxyArrivesAt    int64
}

func (p *partitionProxy) connect(m *partitionMember) {
	c := p.cluster
	link := &partitionLink{proxy: p, member: m, proxyIncarnation: p.incarnation, memberIncarnation: m.incarnation, receivedAt: c.Now, requestedAt: map[uint64]int64{}}
	p.link = link
	if !m.up {
		c.After(30, link.close)
		return
	}
	m.links[link] = true
	hello := &rpc.ProxyHello{Node: p.name, Incarnation: p.incarnation, Zone: "z", AppliedIndex: p.applied}
	link.toMember(func() { link.conn = m.server.AcceptProxy(hello, p.name, link.send, func() { c.After(2, link.close) }) })
	if c.OneIn(10) && !c.calm { // the same once more, by a connection that was held up
		incarnation := m.incarnation
		c.After(c.Between(100, 20000), func() {
			m.run(incarnation, func() { m.server.AcceptProxy(hello, p.name, func(*rpc.Frame) bool { return true }, func() {}) })
		})
	}
	link.watchSilence()
}

// toMember keeps order; what a cut holds up may come much later, even when the router has gone elsewhere.
func (l *partitionLink) toMember(do func()) {
	c := l.proxy.cluster
	took := c.Between(1, 3)
	if l.proxy.slow[l.member.ip] {
		took = c.Between(200, 1500)
	}
	l.memberArrivesAt = max(l.memberArrivesAt+1, c.Now+took)
	c.After(l.memberArrivesAt-c.Now, func() { l.member.run(l.memberIncarnation, do) })
}

func (l *partitionLink) send(frame *rpc.Frame) bool {
	c := l.proxy.cluster
	took := c.Between(1, 3)
	if l.proxy.slow[l.member.ip] {
		took = c.Between(200, 1500)
	}
	l.proxyArrivesAt = max(l.proxyArrivesAt+1, c.Now+took)
	c.After(l.proxyArrivesAt-c.Now, func() {
		if !l.closed && l.proxy.incarnation == l.proxyIncarnation {
			l.receive(frame)
			c.checkInvariants()
		}
	})
	return true
}

func (l *partitionLink) receive(frame *rpc.Frame) {
	c, p := l.proxy.cluster, l.proxy
	l.receivedAt = c.Now
	switch {
	case frame.ProxyWelcome != nil && !frame.ProxyWelcome.IsLeader:
		l.closed = true
		c.After(30, func() { p.connectNext(l.proxyIncarnation) })
	case frame.ProxyWelcome != nil:
		l.renewLease()
	case frame.LogUpdate != nil && frame.LogUpdate.Snapshot != nil:
		s, err := statemachine.Restore(frame.LogUpdate.Snapshot)
		if err != nil {
			panic(err)
		}
		if frame.LogUpdate.LastIndex >= p.applied {
			p.state, p.applied = s, frame.LogUpdate.LastIndex
		}
	case frame.LogUpdate != nil:
		first := frame.LogUpdate.LastIndex - uint64(len(frame.LogUpdate.Entries)) + 1
		if first > p.applied+1 {
			l.close()
			return
		}
		for i, b := range frame.LogUpdate.Entries {
			if at := first + uint64(i); at > p.applied {
				if c, err := statemachine.DecodeChange(b); err == nil && len(b) > 0 {
					p.state.Apply(at, c)
				}
				p.applied = at
			}
		}
	case frame.LeaseResponse != nil && !frame.LeaseResponse.Granted:
		l.close()
	case frame.LeaseResponse != nil && frame.LeaseResponse.CommitIndex <= p.applied:
		asked := l.requestedAt[frame.LeaseResponse.Serial]
		p.lease.Renewed(asked)
		c.leases++
	}
	p.checkLease()
}

// checkLease asserts that a router under a lease holds all that was told to anybody before it can have asked for it.
func (p *partitionProxy) checkLease() {
	c := p.cluster
	if !p.hasLease() {
		return
	}
	if i := c.newestAcknowledged(c.Now - 1800); i > 0 && p.state.Generation < c.applied[i].generation {
		c.Violate("READY: %s is under a lease with %d, %d was told 1.8 s ago", p.name, p.state.Generation, c.applied[i].generation)
	}
}

func (l *partitionLink) close() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.member.links, l)
	if at := l.conn; at != nil {
		l.toMember(func() { l.member.server.ProxyDisconnected(at) })
	}
	l.proxy.cluster.After(30, func() { l.proxy.connectNext(l.proxyIncarnation) })
}

func (l *partitionLink) watchSilence() {
	c := l.proxy.cluster
	c.After(50, func() {
		switch {
		case l.closed || l.proxy.incarnation != l.proxyIncarnation:
		case c.Now > l.receivedAt+700:
			l.close()
		default:
			l.proxy.checkLease()
			l.watchSilence()
		}
	})
}

func (l *partitionLink) renewLease() {
	if l.closed || l.proxy.incarnation != l.proxyIncarnation {
		return
	}
	l.lastSerial++
	n := &rpc.LeaseRequest{Serial: l.lastSerial, AppliedIndex: l.proxy.applied}
	l.requestedAt[l.lastSerial] = l.proxy.now()
	l.toMember(func() { l.member.server.HandleProxyFrame(l.conn, &rpc.Frame{LeaseRequest: n}) })
	l.proxy.cluster.After(int64(300/l.proxy.clockRate), l.renewLease)
}

// injectFault is one fault. With "wild" there is no budget.
func (c *partitionCluster) injectFault(wild bool) {
	c.After(c.Between(150, 1500), func() { c.injectFault(wild) })
	if c.calm {
		return
	}
	out := 0
	for _, m := range c.members {
		if !m.up || m.frozen || len(m.blocked) > 0 {
			out++
		}
	}
	if !wild && out >= len(c.members)/2 {
		return
	}
	m := c.members[c.Rand.IntN(len(c.members))]
	if c.OneIn(2) {
		for _, l := range c.members {
			if l.up && l.server.consensus.IsLeader() {
				m = l
			}
		}
	}
	if !m.up {
		return
	}
	switch c.Rand.IntN(10) {
	case 0:
		for _, o := range c.members { // one, or all that this one may have asked
			if o == m || o.up && wild && c.OneIn(3) {
				c.Note("%s ends", o.ip)
				o.crash(c.OneIn(2))
				c.After(c.Between(60, 400), o.start)
			}
		}
	case 1:
		c.Note("%s ends for long", m.ip)
		m.crash(true)
		c.After(c.Between(400, 4000), m.start)
	case 2:
		span := c.Between(50, 4000)
		c.Note("%s stands still for %d", m.ip, span)
		m.freeze(span)
	case 3, 4, 5, 6:
		m.partition(c.Between(100, 5000))
	case 7:
		c.Note("%s hands over", m.ip)
		m.run(m.incarnation, func() { m.server.carryOut(m.server.consensus.TransferLeadership(m.server.clock.Now())) })
	case 8, 9:
		r := c.proxies[c.Rand.IntN(len(c.proxies))]
		if c.OneIn(2) {
			c.Note("%s starts anew", r.name)
			if t := r.link; t != nil {
				t.closed = true
			}
			r.start()
			return
		}
		c.Note("%s and %s are cut off", r.name, m.ip)
		r.slow[m.ip] = true
		c.After(c.Between(100, 4000), func() { delete(r.slow, m.ip) })
	}
}

// partition cuts a member off from some or all others, one way or both.
func (m *partitionMember) partition(span int64) {
	c := m.cluster
	how, way := []string{"silent", "late"}[c.Rand.IntN(2)], c.Rand.IntN(3)
	c.Note("%s is cut off, %s, way %d, for %d", m.ip, how, way, span)
	only := c.members[c.Rand.IntN(len(c.members))]
	if only == m || c.OneIn(2) {
		only = nil
	}
	for _, o := range c.members {
		if o == m || only != nil && o != only {
			continue
		}
		if way != 1 {
			m.blocked[o.ip] = how
		}
		if way != 0 {
			o.blocked[m.ip] = how
		}
	}
	c.After(span, func() {
		c.Note("%s is joined", m.ip)
		clear(m.blocked)
		for _, o := range c.members {
			delete(o.blocked, m.ip)
		}
		held := c.delayed
		c.delayed = nil
		for _, bring := range held {
			c.After(c.Between(1, 30), bring)
		}
	})
}

func (c *partitionCluster) run(span int64, wild bool) {
	c.After(1500, func() { c.injectFault(wild) })
	c.RunFor(span)
	c.calm = true
	for _, m := range c.members {
		clear(m.blocked)
	}
	c.RunFor(6000)
	before := c.confirmed
	c.RunFor(4000)
	if c.confirmed < before+3 {
		c.Violate("%d orders are confirmed in 4 s of calm", c.confirmed-before)
	}
	for i, l := range c.applied { // what was told is there
		if l.acknowledgedAt == 0 || i == 0 {
			continue
		}
		for _, m := range c.members {
			if m.up && m.server.leading && !slices.ContainsFunc(m.server.state.AppliedUpdates, func(t statemachine.AppliedUpdate) bool { return t.Digest == l.digest }) && i > len(c.applied)-100 {
				c.Violate("LOST: %d was told and is gone", l.generation)
			}
		}
	}
}

func (c *partitionCluster) report() string {
	return strings.Join(c.Violations, "\n") + "\nafter\n" + strings.Join(c.FaultLog, "\n")
}

func partitionSeedCount() int {
	if testing.Short() {
		return max(1, *partitionSeeds/10)
	}
	return *partitionSeeds
}

func TestPartitionedMembersGiveNoWrongResponses(t *testing.T) {
	t.Parallel()
	confirms, refused, reads, answers, leased := 0, 0, 0, 0, 0
	for seed := range partitionSeedCount() {
		size := 3
		if seed%5 == 4 {
			size = 5
		}
		w := newPartitionCluster(uint64(seed), size, 2, 0.05, "")
		span := int64(9000)
		if seed%10 == 7 { // one long cut that heals in the middle of orders
			w.After(2000, func() { w.members[w.Rand.IntN(size)].partition(20000) })
			span = 24000
		}
		w.run(span, seed%2 == 0)
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d:\n%s", seed, w.report())
		}
		confirms, refused, reads, answers, leased = confirms+w.confirmed, refused+w.conflicts, reads+w.reads, answers+w.delayedResponses, leased+w.leases
	}
	n := partitionSeedCount()
	t.Logf("%d worlds: %d orders confirmed, %d refused, %d reads, %d late answers, %d leases", n, confirms, refused, reads, answers, leased)
	require.Greater(t, confirms, 10*n)
	require.Greater(t, refused, n/2)
	require.Greater(t, reads, 10*n)
	require.Greater(t, leased, 20*n)
}

// Each defence, taken out, is caught; so is a clock that runs further off than a tenth.
func TestPartitionSimulationDetectsEachRemovedSafeguard(t *testing.T) {
	t.Parallel()
	all := []string{"holds", "drift", "sent", "lease"}
	if testing.Short() {
		all = all[:1]
	}
	for _, out := range all {
		caught := ""
		for seed := 0; seed < 1000 && caught == ""; seed++ {
			drift := 0.05
			if out == "drift" {
				drift = 0.3
			}
			w := newPartitionCluster(uint64(seed), 3, 2, drift, out)
			func() {
				defer func() {
					if p := recover(); p != nil { // an assertion of the log itself
						w.Violate("both hold: %v", p)
					}
				}()
				w.run(9000, true)
			}()
			for _, b := range w.Violations {
				if !strings.Contains(b, "of calm") {
					caught = fmt.Sprintf("seed %d: %s", seed, b)
					break
				}
			}
		}
		require.NotEmpty(t, caught, "%s: the worlds saw nothing", out)
		t.Logf("%s: caught by %s", out, caught)
	}
}
