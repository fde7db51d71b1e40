// Package setup is the one place where the configuration is read, checked and given defaults: the environment and the file
// that it names become a Start, or an operator's file becomes an Operator. Errors are one line that names the key at fault.
package setup

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"ferrypitch/policy"
)

// Start is what one router starts with.
type Start struct {
	Name         string
	Listen       string // address for clients
	Discovery    string // address of the discovery service
	PeerListen   string // address for datagrams of the other routers
	PeersAll     string // address that reaches all of them
	Peers        []string
	InitialList  Object // the last list, for the decision module; Has("targets") is false without one
	InitialView  Object // the same for a forwarder's view
	Deployment   policy.Deployment
	Formats      Formats
	NextSettings *NextSettings // settings that are previewed; nil for none
	Limits       Limits

	load          func(getenv func(string) string) (*Start, error) // reads and checks the same file again
	fileDiscovery string                                           // the file's discovery address, before the environment's
	fileFields    map[string]any
}

// NextSettings is what a deployment would be by settings that are not in force yet.
type NextSettings struct {
	Deployment policy.Deployment
	Formats    Formats
}

// Load reads the environment and the file that it names.
func Load(getenv func(string) string) (start *Start, err error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG: missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	top, err := Decode("", text)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %s: %w", path, err)
	}
	if start, err = readStart(top, getenv, true); err == nil {
		start.load = Load
	}
	return start, err
}

// readStart reads and checks what a router starts with. Only standalone requires the addresses for clients and of
// discovery.
func readStart(top Object, getenv func(string) string, standalone bool) (s *Start, err error) {
	defer Catch(&err)
	fromEnvOr := func(variable, key string) string {
		if value := getenv(variable); value != "" {
			return value
		}
		if !top.Has(key) {
			return ""
		}
		return top.Text(key)
	}
	s = &Start{
		Name:       fromEnvOr("GW_NAME", "name"),
		Listen:     fromEnvOr("GW_LISTEN", "listen"),
		Discovery:  fromEnvOr("GW_DISCOVERY", "discovery"),
		PeerListen: top.OptionalText("peer_listen"),
		PeersAll:   top.OptionalText("peers_all"),
	}
	s.readSettings(top)
	s.readPeers(top)
	if s.Name == "" {
		panic(Fault("GW_NAME: missing, and no name in the file"))
	}
	if standalone || s.Listen != "" {
		requireAddress(s.Listen, "GW_LISTEN (listen)")
	}
	if standalone || s.Discovery != "" {
		requireAddress(s.Discovery, "GW_DISCOVERY (discovery)")
	}
	if top.Has("known") {
		s.InitialList = top.Object("known")
		if s.InitialList.Has("targets") {
			s.InitialList.Objects("targets")
			s.InitialList.Integer("rev")
		}
	}
	s.Limits = computeLimits(top)
	s.fileDiscovery, s.fileFields = top.OptionalText("discovery"), top.fields
	return s, nil
}

// readSettings reads the settings in force, and those that are previewed.
func (s *Start) readSettings(top Object) {
	seed, err := strconv.ParseUint(top.Text("seed"), 16, 64)
	if err != nil {
		top.fail("seed", "not a number in hexadecimal digits")
	}
	read := func(key string) (policy.Deployment, Formats) {
		deployment, terms := ReadDeployment(top.Object(key), uint32(seed)^uint32(seed>>32))
		deployment.PositionEpoch = 0 // positions on sockets are Unix times
		deployment.PeerUpdatesEnabled = deployment.PeerUpdatesEnabled && s.PeerListen != "" && s.PeersAll != ""
		return deployment, terms
	}
	s.Deployment, s.Formats = read("settings")
	if !top.Has("next_settings") {
		return
	}
	s.NextSettings = &NextSettings{}
	s.NextSettings.Deployment, s.NextSettings.Formats = read("next_settings")
	for name := range s.Formats.Groups {
		if s.NextSettings.Formats.Groups[name] == nil {
			panic(Fault("next_settings.classes: none of the name " + strconv.Quote(name)))
		}
	}
}

// readPeers reads the addresses of the other routers, and checks them where routers exchange messages.
func (s *Start) readPeers(top Object) {
	for _, item := range top.OptionalList("peers") {
		peer, _ := item.(string)
		s.Peers = append(s.Peers, peer)
	}
	if !s.Deployment.PeerUpdatesEnabled {
		return
	}
	requireAddress(s.PeerListen, "peer_listen")
	requireAddress(s.PeersAll, "peers_all")
	for i, peer := range s.Peers {
		requireAddress(peer, "peers["+strconv.Itoa(i)+"]")
	}
}

// Reload reads and checks the same file again, while the program runs. Only discovery's address changes then: one that the
// file has changed takes precedence over the environment, which cannot have changed. fromNextStart names the keys whose new
// values count from the next start only.
func (s *Start) Reload(getenv func(string) string) (next *Start, fromNextStart []string, err error) {
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
			fromNextStart = append(fromNextStart, key)
		}
	}
	slices.Sort(fromNextStart)
	next.fileFields = s.fileFields // those in force
	return next, fromNextStart, nil
}

// checkAddress is requireAddress with an error in place of a Fault that is raised.
func checkAddress(text, key string) (err error) {
	defer Catch(&err)
	requireAddress(text, key)
	return nil
}

// requireAddress raises a Fault unless a text is an IP address and a port.
func requireAddress(text, key string) {
	if text == "" {
		panic(Fault(key + ": missing"))
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		panic(Fault(key + ": not an address and port: " + strconv.Quote(text)))
	}
}
