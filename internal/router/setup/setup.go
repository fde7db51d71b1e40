// Package setup reads and validates the configuration of the older router and applies defaults. Load reads the environment and
// the file that it names; LoadOperator reads an operator's file. Errors are one line that names the invalid key.
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

// Start is the configuration of one router.
type Start struct {
	Name           string
	Listen         string   // address for clients
	Discovery      string   // address of the discovery service
	PeerListen     string   // address for datagrams of the other routers
	PeersBroadcast string   // broadcast address of the other routers
	Peers          []string // addresses of the other routers
	InitialList    Object   // host list of the previous run, for the policy; Has("targets") is false if there is none
	InitialView    Object   // the same for the view of a forwarder
	Deployment     policy.Deployment
	Formats        Formats
	NextSettings   *NextSettings // settings that are previewed; nil for none
	Limits         Limits

	load          func(getenv func(string) string) (*Start, error) // reloads the same configuration
	fileDiscovery string                                           // discovery address in the file, ignoring the environment
	fileFields    map[string]any                                   // top-level fields of the file
}

// NextSettings is the deployment under settings that are not in force yet and only previewed.
type NextSettings struct {
	Deployment policy.Deployment
	Formats    Formats
}

// Load reads the configuration from the environment and the file that GW_CONFIG names.
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

// readStart reads and validates the configuration of a router. The addresses for clients and of discovery are required only if
// standalone is true.
func readStart(top Object, getenv func(string) string, standalone bool) (s *Start, err error) {
	defer CatchFieldError(&err)
	envOrFile := func(variable, key string) string {
		if value := getenv(variable); value != "" {
			return value
		}
		if !top.Has(key) {
			return ""
		}
		return top.Text(key)
	}
	s = &Start{
		Name:           envOrFile("GW_NAME", "name"),
		Listen:         envOrFile("GW_LISTEN", "listen"),
		Discovery:      envOrFile("GW_DISCOVERY", "discovery"),
		PeerListen:     top.OptionalText("peer_listen"),
		PeersBroadcast: top.OptionalText("peers_all"),
	}
	s.readSettings(top)
	s.readPeers(top)
	if s.Name == "" {
		panic(FieldError("GW_NAME: missing, and no name in the file"))
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

// readSettings reads the settings in force and those that are previewed.
func (s *Start) readSettings(top Object) {
	seed, err := strconv.ParseUint(top.Text("seed"), 16, 64)
	if err != nil {
		top.fail("seed", "not a hexadecimal number")
	}
	read := func(key string) (policy.Deployment, Formats) {
		deployment, formats := ReadDeployment(top.Object(key), uint32(seed)^uint32(seed>>32))
		deployment.PositionEpoch = 0 // positions in the protocol are Unix times
		deployment.PeerUpdatesEnabled = deployment.PeerUpdatesEnabled && s.PeerListen != "" && s.PeersBroadcast != ""
		return deployment, formats
	}
	s.Deployment, s.Formats = read("settings")
	if !top.Has("next_settings") {
		return
	}
	s.NextSettings = &NextSettings{}
	s.NextSettings.Deployment, s.NextSettings.Formats = read("next_settings")
	for name := range s.Formats.Groups {
		if s.NextSettings.Formats.Groups[name] == nil {
			panic(FieldError("next_settings.classes: no class named " + strconv.Quote(name)))
		}
	}
}

// readPeers reads the addresses of the other routers, and validates them if routers exchange messages.
func (s *Start) readPeers(top Object) {
	for _, item := range top.OptionalList("peers") {
		peer, _ := item.(string)
		s.Peers = append(s.Peers, peer)
	}
	if !s.Deployment.PeerUpdatesEnabled {
		return
	}
	requireAddress(s.PeerListen, "peer_listen")
	requireAddress(s.PeersBroadcast, "peers_all")
	for i, peer := range s.Peers {
		requireAddress(peer, "peers["+strconv.Itoa(i)+"]")
	}
}

// Reload reads and validates the same configuration again while the process runs. Only the address of discovery is applied: a
// changed address in the file takes precedence over the environment, which cannot change. fromNextStart names the changed keys
// that take effect only at the next start.
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
	next.fileFields = s.fileFields // the values in force
	return next, fromNextStart, nil
}

// checkAddress is requireAddress, but returns the FieldError as an error.
func checkAddress(text, key string) (err error) {
	defer CatchFieldError(&err)
	requireAddress(text, key)
	return nil
}

// requireAddress panics with a FieldError unless a text is an IP address and a port.
func requireAddress(text, key string) {
	if text == "" {
		panic(FieldError(key + ": missing"))
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		panic(FieldError(key + ": not an address and port: " + strconv.Quote(text)))
	}
}
