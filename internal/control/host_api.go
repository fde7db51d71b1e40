package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/statemachine"
)

const (
	maxHosts         = 4096
	maxHostNameBytes = 128 // IDs, and names of services, zones and generations
	maxHostBodyBytes = 64 << 10
	hostCallTimeout  = 950 * time.Millisecond // a host waits for a second
)

// States of a host in its heartbeats.
const (
	hostServing  = "serving"
	hostDraining = "draining"
)

// rolePrimary is the database role of a primary in heartbeats.
const rolePrimary = "leader"

// HeartbeatRequest is the JSON body of a host's heartbeat.
type HeartbeatRequest struct {
	Service    string
	Address    string // IP address and port
	Zone       string
	Generation string
	Capacity   float64
	State      string // serving or draining
	ColdLeftMs float64
	DBRole     string `json:"DbRole"` // leader or follower
	CallSeq    int64  // increases with each call of a host; older ones are ignored
}

var hostHeartbeat = endpoint{
	method:       http.MethodPost,
	path:         "/Instances.Heartbeat/",
	maxBodyBytes: maxHostBodyBytes,
	timeout:      hostCallTimeout,
	priority:     eventloop.PriorityReports,
	handle:       (*Server).handleHeartbeat,
}

var hostLeave = endpoint{
	method:       http.MethodPost,
	path:         "/Instances.Leave/",
	maxBodyBytes: maxHostBodyBytes,
	timeout:      hostCallTimeout,
	priority:     eventloop.PriorityCommands,
	handle:       (*Server).handleLeave,
}

// handleHeartbeat notes that a host is alive, and proposes a change if it is new or reports something new of itself.
func (s *Server) handleHeartbeat(hostID string, call apiCall, respond Responder) {
	var heartbeat HeartbeatRequest
	if err := json.Unmarshal(call.body, &heartbeat); err != nil {
		reject(respond, errcode.InvalidBody, err)
		return
	}
	if err := heartbeat.validate(hostID); err != nil {
		reject(respond, errcode.InvalidBody, err)
		return
	}
	s.Heartbeats.Add(1)
	result := func(err error) { s.respondHeartbeat(err, respond) }
	previous, known := s.state.Hosts[hostID]
	lastSeq, heard := s.lastCallSeq[hostID]
	switch {
	case known && heard && heartbeat.CallSeq < lastSeq:
		result(nil) // it was overtaken
		return
	case known && (previous.Address != heartbeat.Address || previous.Service != heartbeat.Service):
		// A host keeps its address and service, and IDs are not reused.
		reject(respond, errcode.InvalidBody, fmt.Errorf("host %s is known at %s, service %s", hostID, previous.Address, previous.Service))
		return
	}
	accept := func() { s.acceptHeartbeat(hostID, &heartbeat, respond) }
	if !known {
		if occupant := s.state.HostIDAt(heartbeat.Address); occupant != "" {
			s.checkAddress(occupant, addressCheck{accept: accept, respond: respond})
			return
		}
	}
	accept()
}

// acceptHeartbeat takes in a heartbeat that is neither late nor contradicts what is known.
func (s *Server) acceptHeartbeat(hostID string, heartbeat *HeartbeatRequest, respond Responder) {
	s.lastCallSeq[hostID] = max(s.lastCallSeq[hostID], heartbeat.CallSeq)
	s.coordinator.Heartbeat(hostID, heartbeat.DBRole == rolePrimary, s.clock.Now())
	s.handleFailoverEvents()
	result := func(err error) { s.respondHeartbeat(err, respond) }
	previous, known := s.state.Hosts[hostID]
	host := heartbeat.host(hostID, previous)
	switch {
	case known && host == previous:
		result(nil)
	case !known && len(s.state.Hosts) >= maxHosts:
		reject(respond, errcode.TooManyPending, nil)
	default:
		s.log.Info("host changed", "id", hostID, "service", host.Service, "address", host.Address, "zone", host.Zone, "draining", host.Draining)
		s.propose(statemachine.Change{AddHost: &host}, result)
	}
}

func (b *HeartbeatRequest) validate(hostID string) error {
	ip, _, err := net.SplitHostPort(b.Address)
	switch {
	case !isHostName(hostID) || strings.Contains(hostID, "/"):
		return fmt.Errorf("invalid host ID %.140q", hostID)
	case !isHostName(b.Service):
		return fmt.Errorf("invalid Service %.140q", b.Service)
	case err != nil || net.ParseIP(ip) == nil:
		return fmt.Errorf("invalid Address %.140q: not an IP address and port", b.Address)
	case b.State != hostServing && b.State != hostDraining:
		return fmt.Errorf("invalid State %.40q", b.State)
	case len(b.Zone) > maxHostNameBytes || len(b.Generation) > maxHostNameBytes:
		return errors.New("invalid Zone or Generation: too long")
	}
	return nil
}

// isHostName reports whether a name is non-empty, not too long, and can stand in a line of a host's protocol.
func isHostName(name string) bool {
	return name != "" && len(name) <= maxHostNameBytes && !strings.ContainsAny(name, " \r\n")
}

// host is the host as the state keeps it. Draining is final.
func (b *HeartbeatRequest) host(id string, previous statemachine.Host) statemachine.Host {
	return statemachine.Host{
		ID:         id,
		Service:    b.Service,
		Address:    b.Address,
		Zone:       b.Zone,
		Generation: b.Generation,
		Capacity:   int64(b.Capacity),
		Draining:   b.State == hostDraining || previous.Draining,
		AddedIndex: previous.AddedIndex,
	}
}

// heartbeatResponse tells a host where its next heartbeat goes: to the leader directly.
type heartbeatResponse struct {
	BeatTarget string
}

func (s *Server) respondHeartbeat(err error, respond Responder) {
	if err != nil && !errors.Is(err, statemachine.ErrNotFound) { // a removed host may send one more heartbeat
		reject(respond, errorKind(err), err)
		return
	}
	body, _ := json.Marshal(heartbeatResponse{s.apiAddress()}) // strings: it can't fail
	respond(http.StatusOK, body)
}

// apiAddress is the address of this member's API. All members use the same port.
func (s *Server) apiAddress() string {
	_, port, _ := net.SplitHostPort(s.settings.Listen.Control)
	return net.JoinHostPort(s.settings.Ip, port)
}

// handleLeave removes a host that has drained, which ends now. One that never drained serves on for as long as drained ones
// do before they leave: it stays listed, as draining, until its process has ended. A call for a host that is unknown or leaves
// already is a repetition, and succeeds.
func (s *Server) handleLeave(hostID string, _ apiCall, respond Responder) {
	host, known := s.state.Hosts[hostID]
	result := func(err error) { respondResult(err, respond) }
	switch {
	case !known, s.state.IsLeaving(hostID):
		respond(http.StatusOK, []byte("{}\n"))
	case host.Draining:
		s.log.Info("host removed", "id", hostID)
		s.propose(statemachine.Change{RemoveHost: hostID}, result)
	default:
		s.log.Info("host leaves without draining first", "id", hostID)
		s.propose(statemachine.Change{HostLeaving: hostID}, result)
	}
}
