// Package setup is the one place where configuration is read, checked and given
// defaults. What it finds wrong it says in one line that names the key.
package setup

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"ferrypitch/policy"
)

// Start is what one router starts with.
type Start struct {
	Name, Listen, Discovery, PeerListen, PeersAll string
	Peers                                         []string
	Known, Given                                  Object // the last list, for the module and for views; Has("targets") is false without one
	Deployment                                    policy.Deployment
	Terms                                         Terms
	Next                                          *Next // settings that are watched, not in force; nil: none
	Limits                                        Limits

	load      func(getenv func(string) string) (*Start, error) // reads and checks the same file once more
	discovery string                                           // what the file said of it
	fields    map[string]any                                   // of the file
}

// Next is what settings that are not in force yet would make of a deployment.
type Next struct {
	Deployment policy.Deployment
	Terms      Terms
}

// Limits holds all sizes, counts and times that the sockets keep to.
type Limits struct {
	Cores  int
	Memory int64 // what the collector is told, in bytes

	Clients, Hosts int   // descriptors for each
	Spare          int   // descriptors for clients past theirs, whose commands are throttled
	Backlog        int   // commands waiting for the owner of the module
	Ahead          int   // commands taken from one client connection and not answered
	Refusals       int   // commands in a row that are not served, before a client's connection ends
	Message        int   // the longest message taken from a client
	Answer         int   // the longest message taken from a host
	Line           int   // the longest line taken from discovery
	Datagram       int   // the longest message between routers
	Buffer         int   // what a connection's buffer starts with, and returns to
	Buffers        int64 // what all buffers may take together past that

	Connect time.Duration // for a host connection to come up
	Idle    time.Duration // after which an idle host connection is no longer used
	Early   time.Duration // how long before the client timeout a last answer is sent
	Ready   time.Duration // for a first list to come, before an empty query is refused
	Whole   time.Duration // for a client to finish what it began, and for its first command
	Unused  time.Duration // for a client to do so, before its connection may make way
	Free    time.Duration // after which an idle client connection may make way once half of Clients are open
	Part    time.Duration // for a client to read why its connection ends
	Rest    time.Duration // for what is behind an answer to come, before the host connection is used again
	Stuck   time.Duration // for a client to read some of its answers
	Quiet   time.Duration // of discovery, before it is asked anew
	Again   time.Duration // the first wait before asking anew; it doubles
	Gather  time.Duration // in which datagrams come together, before they are read
	Pulse   time.Duration // the longest time that the owner of the module rests
	Settle  time.Duration // for sockets to be read after this router stood still
	Arrive  time.Duration // after SIGTERM, in which connections are still taken
	Linger  time.Duration // after SIGTERM, in which they are kept: for as long as can be served
	End     time.Duration // after SIGTERM, at which the program exits at the latest
}

// Load reads the environment and the file that it names.
func Load(getenv func(string) string) (s *Start, err error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("GW_CONFIG: missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	top, err := Decode("", text)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %s: %w", path, err)
	}
	if s, err = start(top, getenv, true); err == nil {
		s.load = Load
	}
	return s, err
}

// start checks what a router, or with alone false one of another tier, starts with.
func start(top Object, getenv func(string) string, alone bool) (s *Start, err error) {
	defer Catch(&err)
	given := func(variable, key string) string {
		if v := getenv(variable); v != "" {
			return v
		}
		if !top.Has(key) {
			return ""
		}
		return top.Text(key)
	}
	s = &Start{Name: given("GW_NAME", "name"), Listen: given("GW_LISTEN", "listen"),
		Discovery: given("GW_DISCOVERY", "discovery"), PeerListen: top.MaybeText("peer_listen"),
		PeersAll: top.MaybeText("peers_all")}
	seed, err := strconv.ParseUint(top.Text("seed"), 16, 64)
	if err != nil {
		top.fault("seed", "not a number in hexadecimal digits")
	}
	deployment := func(key string) (d policy.Deployment, t Terms) {
		d, t = Deployment(top.Within(key), uint32(seed)^uint32(seed>>32))
		d.Zero = 0 // positions on sockets are Unix times
		d.Peers = d.Peers && s.PeerListen != "" && s.PeersAll != ""
		return d, t
	}
	s.Deployment, s.Terms = deployment("settings")
	if top.Has("next_settings") {
		s.Next = &Next{}
		s.Next.Deployment, s.Next.Terms = deployment("next_settings")
		for name := range s.Terms.Groups {
			if s.Next.Terms.Groups[name] == nil {
				panic(Fault("next_settings.classes: none of the name " + strconv.Quote(name)))
			}
		}
	}
	for _, p := range top.MaybeList("peers") {
		peer, _ := p.(string)
		s.Peers = append(s.Peers, peer)
	}
	if s.Deployment.Peers {
		address(s.PeerListen, "peer_listen")
		address(s.PeersAll, "peers_all")
		for i, p := range s.Peers {
			address(p, "peers["+strconv.Itoa(i)+"]")
		}
	}
	if s.Name == "" {
		panic(Fault("GW_NAME: missing, and no name in the file"))
	}
	if alone || s.Listen != "" {
		address(s.Listen, "GW_LISTEN (listen)")
	}
	if alone || s.Discovery != "" {
		address(s.Discovery, "GW_DISCOVERY (discovery)")
	}
	if top.Has("known") {
		s.Known = top.Within("known")
		if s.Known.Has("targets") {
			s.Known.Objects("targets")
			s.Known.Integer("rev")
		}
	}
	s.Limits = limits(top)
	s.discovery, s.fields = top.MaybeText("discovery"), top.fields
	return s, nil
}

// Again reads and checks the same file once more, while the program runs. Discovery's address is
// followed: one that the file has changed goes before the environment, which cannot have changed. kept
// names the keys whose new values count from the next start only.
func (s *Start) Again(getenv func(string) string) (next *Start, kept []string, err error) {
	if next, err = s.load(getenv); err != nil {
		return nil, nil, err
	}
	if next.discovery != "" && next.discovery != s.discovery {
		if err := valid(next.discovery, "discovery"); err != nil {
			return nil, nil, err
		}
		next.Discovery = next.discovery
	} else {
		next.Discovery = s.Discovery
	}
	for key := range next.fields {
		if key != "discovery" && key != "known" && !reflect.DeepEqual(next.fields[key], s.fields[key]) {
			kept = append(kept, key)
		}
	}
	slices.Sort(kept)
	next.fields = s.fields // what is in force
	return next, kept, nil
}

func valid(text, key string) (err error) {
	defer Catch(&err)
	address(text, key)
	return nil
}

func address(text, key string) {
	if text == "" {
		panic(Fault(key + ": missing"))
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		panic(Fault(key + ": not an address and port: " + strconv.Quote(text)))
	}
}

// limits divides what the platform allows.
func limits(top Object) Limits {
	given, bounds := top.Within("limits"), top.Within("settings").Within("bounds")
	least := func(o Object, field string, floor float64) float64 {
		v := o.Number(field)
		if v < floor {
			o.fault(field, "less than "+strconv.FormatFloat(floor, 'f', -1, 64))
		}
		return v
	}
	cores := least(given, "cores", 0.01)
	memory := int64(least(given, "memory_mb", 32)) << 20
	sockets := int(least(given, "sockets", 64))
	const own = 16 // listener, discovery, peers, log, and the runtime's
	reserve := max(own+8, min(64, sockets/4))
	ms := func(field string, floor float64) time.Duration {
		return time.Duration(least(bounds, field, floor) * float64(time.Millisecond))
	}
	idle := ms("conn_idle", 1)
	l := Limits{
		Cores: int(max(1, cores+0.5)), Memory: memory * 3 / 4,
		Hosts: (sockets - reserve) * 2 / 5, Spare: min(reserve/2, reserve-own), Backlog: 1024, Ahead: 32, Refusals: 16,
		Message: 160 << 10, Answer: 96 << 10, Line: 4 << 20, Datagram: 256, Buffer: 4 << 10, Buffers: memory / 4,
		Connect: ms("connect_timeout", 1), Idle: idle - min(idle/4, 2*time.Second),
		Early: 4 * time.Millisecond, Ready: 10 * time.Second, Whole: 2500 * time.Millisecond,
		Unused: 250 * time.Millisecond, Free: 250 * time.Millisecond, Part: time.Second, Rest: time.Millisecond, Stuck: 15 * time.Second,
		Quiet: 4500 * time.Millisecond, Again: 50 * time.Millisecond,
		Gather: 15 * time.Millisecond, Pulse: 50 * time.Millisecond, Settle: 5 * time.Millisecond, Arrive: 500 * time.Millisecond,
	}
	var target time.Duration
	for _, c := range top.Within("settings").Objects("classes") { // SIGKILL comes 0.2 s after End at the soonest
		longest := time.Duration(c.Number("give_up")) * time.Millisecond
		target = max(target, time.Duration(c.Number("promise"))*time.Millisecond)
		l.End = max(l.End, min(longest, 3*time.Second)+l.Arrive)
	}
	l.Linger = max(l.Arrive, l.End-target) // clients may have nowhere else to go for now
	l.Clients = sockets - reserve - l.Hosts
	return l
}
