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
	InitialList, InitialView                      Object // the last list, for the module and for views; Has("targets") is false without one
	Deployment                                    policy.Deployment
	Terms                                         Terms
	NextSettings                                  *NextSettings // settings that are watched, not in force; nil: none
	Limits                                        Limits

	load          func(getenv func(string) string) (*Start, error) // reads and checks the same file once more
	fileDiscovery string                                           // what the file said of it
	fileFields    map[string]any                                   // of the file
}

// NextSettings is what settings that are not in force yet would make of a deployment.
type NextSettings struct {
	Deployment policy.Deployment
	Terms      Terms
}

// Limits holds all sizes, counts and times that the sockets keep to.
type Limits struct {
	Cores  int
	Memory int64 // what the collector is told, in bytes

	MaxClientConns, Hosts int   // descriptors for each
	SpareClientConns      int   // descriptors for clients past theirs, whose commands are throttled
	CommandQueueSize      int   // commands waiting for the owner of the module
	MaxPipelined          int   // commands taken from one client connection and not answered
	MaxRejectedInARow     int   // commands in a row that are not served, before a client's connection ends
	MaxClientMessage      int   // the longest message taken from a client
	Answer                int   // the longest message taken from a host
	Line                  int   // the longest line taken from discovery
	MaxDatagram           int   // the longest message between routers
	Buffer                int   // what a connection's buffer starts with, and returns to
	Buffers               int64 // what all buffers may take together past that

	Connect            time.Duration // for a host connection to come up
	Idle               time.Duration // after which an idle host connection is no longer used
	AnswerMargin       time.Duration // how long before the client timeout a last answer is sent
	FirstListTimeout   time.Duration // for a first list to come, before an empty query is refused
	CommandReadTimeout time.Duration // for a client to finish what it began, and for its first command
	NewConnGrace       time.Duration // for a client to do so, before its connection may make way
	EvictionIdleTime   time.Duration // after which an idle client connection may make way once half of Clients are open
	LingerTimeout      time.Duration // for a client to read why its connection ends
	ReuseDelay         time.Duration // for what is behind an answer to come, before the host connection is used again
	ClientWriteTimeout time.Duration // for a client to read some of its answers
	Quiet              time.Duration // of discovery, before it is asked anew
	Again              time.Duration // the first wait before asking anew; it doubles
	DatagramBatchDelay time.Duration // in which datagrams come together, before they are read
	StepInterval       time.Duration // the longest time that the owner of the module rests
	StallRecoveryDelay time.Duration // for sockets to be read after this router stood still
	AcceptPeriod       time.Duration // after SIGTERM, in which connections are still taken
	DrainDelay         time.Duration // after SIGTERM, in which they are kept: for as long as can be served
	ShutdownTimeout    time.Duration // after SIGTERM, at which the program exits at the latest
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
	if s, err = readStart(top, getenv, true); err == nil {
		s.load = Load
	}
	return s, err
}

// readStart checks what a router, or with alone false one of another tier, starts with.
func readStart(top Object, getenv func(string) string, alone bool) (s *Start, err error) {
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
		top.fail("seed", "not a number in hexadecimal digits")
	}
	deployment := func(key string) (d policy.Deployment, t Terms) {
		d, t = Deployment(top.Within(key), uint32(seed)^uint32(seed>>32))
		d.Zero = 0 // positions on sockets are Unix times
		d.Peers = d.Peers && s.PeerListen != "" && s.PeersAll != ""
		return d, t
	}
	s.Deployment, s.Terms = deployment("settings")
	if top.Has("next_settings") {
		s.NextSettings = &NextSettings{}
		s.NextSettings.Deployment, s.NextSettings.Terms = deployment("next_settings")
		for name := range s.Terms.Groups {
			if s.NextSettings.Terms.Groups[name] == nil {
				panic(Fault("next_settings.classes: none of the name " + strconv.Quote(name)))
			}
		}
	}
	for _, p := range top.MaybeList("peers") {
		peer, _ := p.(string)
		s.Peers = append(s.Peers, peer)
	}
	if s.Deployment.Peers {
		requireAddress(s.PeerListen, "peer_listen")
		requireAddress(s.PeersAll, "peers_all")
		for i, p := range s.Peers {
			requireAddress(p, "peers["+strconv.Itoa(i)+"]")
		}
	}
	if s.Name == "" {
		panic(Fault("GW_NAME: missing, and no name in the file"))
	}
	if alone || s.Listen != "" {
		requireAddress(s.Listen, "GW_LISTEN (listen)")
	}
	if alone || s.Discovery != "" {
		requireAddress(s.Discovery, "GW_DISCOVERY (discovery)")
	}
	if top.Has("known") {
		s.InitialList = top.Within("known")
		if s.InitialList.Has("targets") {
			s.InitialList.Objects("targets")
			s.InitialList.Integer("rev")
		}
	}
	s.Limits = computeLimits(top)
	s.fileDiscovery, s.fileFields = top.MaybeText("discovery"), top.fields
	return s, nil
}

// Reload reads and checks the same file once more, while the program runs. Discovery's address is
// followed: one that the file has changed goes before the environment, which cannot have changed. kept
// names the keys whose new values count from the next start only.
func (s *Start) Reload(getenv func(string) string) (next *Start, kept []string, err error) {
	if next, err = s.load(getenv); err != nil {
		return nil, nil, err
	}
	if next.fileDiscovery != "" && next.fileDiscovery != s.fileDiscovery {
		if err := checkAddress(next.fileDiscovery, "discovery"); err != nil {
			return nil, nil, err
		}
		next.Discovery = next.fileDiscovery
	} else {
		next.Discovery = s.Discovery
	}
	for key := range next.fileFields {
		if key != "discovery" && key != "known" && !reflect.DeepEqual(next.fileFields[key], s.fileFields[key]) {
			kept = append(kept, key)
		}
	}
	slices.Sort(kept)
	next.fileFields = s.fileFields // what is in force
	return next, kept, nil
}

func checkAddress(text, key string) (err error) {
	defer Catch(&err)
	requireAddress(text, key)
	return nil
}

func requireAddress(text, key string) {
	if text == "" {
		panic(Fault(key + ": missing"))
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		panic(Fault(key + ": not an address and port: " + strconv.Quote(text)))
	}
}

// computeLimits divides what the platform allows.
func computeLimits(top Object) Limits {
	given, bounds := top.Within("limits"), top.Within("settings").Within("bounds")
	least := func(o Object, field string, floor float64) float64 {
		v := o.Number(field)
		if v < floor {
			o.fail(field, "less than "+strconv.FormatFloat(floor, 'f', -1, 64))
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
		Hosts: (sockets - reserve) * 2 / 5, SpareClientConns: min(reserve/2, reserve-own), CommandQueueSize: 1024, MaxPipelined: 32, MaxRejectedInARow: 16,
		MaxClientMessage: 160 << 10, Answer: 96 << 10, Line: 4 << 20, MaxDatagram: 256, Buffer: 4 << 10, Buffers: memory / 4,
		Connect: ms("connect_timeout", 1), Idle: idle - min(idle/4, 2*time.Second),
		AnswerMargin: 4 * time.Millisecond, FirstListTimeout: 10 * time.Second, CommandReadTimeout: 2500 * time.Millisecond,
		NewConnGrace: 250 * time.Millisecond, EvictionIdleTime: 250 * time.Millisecond, LingerTimeout: time.Second, ReuseDelay: time.Millisecond, ClientWriteTimeout: 15 * time.Second,
		Quiet: 4500 * time.Millisecond, Again: 50 * time.Millisecond,
		DatagramBatchDelay: 15 * time.Millisecond, StepInterval: 50 * time.Millisecond, StallRecoveryDelay: 5 * time.Millisecond, AcceptPeriod: 500 * time.Millisecond,
	}
	var target time.Duration
	for _, c := range top.Within("settings").Objects("classes") { // SIGKILL comes 0.2 s after End at the soonest
		longest := time.Duration(c.Number("give_up")) * time.Millisecond
		target = max(target, time.Duration(c.Number("promise"))*time.Millisecond)
		l.ShutdownTimeout = max(l.ShutdownTimeout, min(longest, 3*time.Second)+l.AcceptPeriod)
	}
	l.DrainDelay = max(l.AcceptPeriod, l.ShutdownTimeout-target) // clients may have nowhere else to go for now
	l.MaxClientConns = sockets - reserve - l.Hosts
	return l
}
