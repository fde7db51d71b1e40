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
	maxHostNameBytes = 128 // for host IDs and the names of services, zones and generations
	maxHostBodyBytes = 64 << 10
	hostCallTimeout  = 950 * time.Millisecond // hosts give up after 1 s
)

// Host states reported in heartbeats.
const (
	hostServing  = "serving"
	hostDraining = "draining"
)

// rolePrimary is the database role that a primary reports in its heartbeats.
const rolePrimary = "leader"

// HeartbeatRequest is the JSON body of a host's heartbeat.
type HeartbeatRequest struct {
	Service    string
	Address    string // IP address and port
	Zone       string
	Generation string
	Capacity   float64
	State      string  // serving or draining
	ColdLeftMs float64 // not used by the control plane
	DBRole     string  `json:"DbRole"` // leader or follower
	CallSeq    int64   // increases with each call from a host; calls with a lower number are ignored
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

// handleHeartbeat validates a host's heartbeat. If the host is new and its address belongs to a known host, it checks first that
// the known host is gone.
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
	done := func(err error) { s.respondHeartbeat(err, respond) }
	previous, known := s.state.Hosts[hostID]
	lastSeq, seen := s.lastCallSeq[hostID]
	switch {
	case known && seen && heartbeat.CallSeq < lastSeq:
		done(nil) // reordered: a later heartbeat was already processed
		return
	case known && (previous.Address != heartbeat.Address || previous.Service != heartbeat.Service):
		// A host never changes its address or service, and host IDs are not reused.
		reject(respond, errcode.InvalidBody, fmt.Errorf("host %s is known at %s, service %s", hostID, previous.Address, previous.Service))
		return
	}
	accept := func() { s.acceptHeartbeat(hostID, &heartbeat, respond) }
	if !known {
		if knownHost := s.state.HostIDAt(heartbeat.Address); knownHost != "" {
			s.checkAddress(knownHost, addressCheck{accept: accept, respond: respond})
			return
		}
	}
	accept()
}

// acceptHeartbeat records that a host is alive, and proposes a change if the host is new or its reported data has changed.
func (s *Server) acceptHeartbeat(hostID string, heartbeat *HeartbeatRequest, respond Responder) {
	s.lastCallSeq[hostID] = max(s.lastCallSeq[hostID], heartbeat.CallSeq)
	s.coordinator.Heartbeat(hostID, heartbeat.DBRole == rolePrimary, s.clock.Now())
	s.handleFailoverEvents()
	done := func(err error) { s.respondHeartbeat(err, respond) }
	previous, known := s.state.Hosts[hostID]
	host := heartbeat.host(hostID, previous)
	switch {
	case known && host == previous:
		done(nil)
	case !known && len(s.state.Hosts) >= maxHosts:
		reject(respond, errcode.TooManyPending, nil)
	default:
		s.log.Info("host changed", "id", hostID, "service", host.Service, "address", host.Address, "zone", host.Zone, "draining", host.Draining)
		s.propose(statemachine.Change{AddHost: &host}, done)
	}
}

// validate reports an error if the heartbeat or the ID of its host is invalid.
func (r *HeartbeatRequest) validate(hostID string) error {
	ip, _, err := net.SplitHostPort(r.Address)
	switch {
	case !isHostName(hostID) || strings.Contains(hostID, "/"):
		return fmt.Errorf("invalid host ID %.140q", hostID)
	case !isHostName(r.Service):
		return fmt.Errorf("invalid Service %.140q", r.Service)
	case err != nil || net.ParseIP(ip) == nil:
		return fmt.Errorf("invalid Address %.140q: not an IP address and port", r.Address)
	case r.State != hostServing && r.State != hostDraining:
		return fmt.Errorf("invalid State %.40q", r.State)
	case len(r.Zone) > maxHostNameBytes || len(r.Generation) > maxHostNameBytes:
		return errors.New("invalid Zone or Generation: too long")
	}
	return nil
}

// isHostName reports whether a name is non-empty, not too long, and can be part of a line of the host protocol.
func isHostName(name string) bool {
	return name != "" && len(name) <= maxHostNameBytes && !strings.ContainsAny(name, " \r\n")
}

// host returns the host record for the replicated state, which is not marked as missing. A host that has started draining remains
// draining.
func (r *HeartbeatRequest) host(id string, previous statemachine.Host) statemachine.Host {
	return statemachine.Host{
		ID:         id,
		Service:    r.Service,
		Address:    r.Address,
		Zone:       r.Zone,
		Generation: r.Generation,
		Capacity:   int64(r.Capacity),
		Draining:   r.State == hostDraining || previous.Draining,
		AddedIndex: previous.AddedIndex,
	}
}

// heartbeatResponse names the address to which the host sends its next heartbeat, which is that of the leader.
type heartbeatResponse struct {
	BeatTarget string
}

func (s *Server) respondHeartbeat(err error, respond Responder) {
	if err != nil && !errors.Is(err, statemachine.ErrNotFound) { // ErrNotFound: a removed host may send one more heartbeat
		reject(respond, errorKind(err), err)
		return
	}
	body, _ := json.Marshal(heartbeatResponse{s.apiAddress()}) // strings only: cannot fail
	respond(http.StatusOK, body)
}

// apiAddress returns the address of this member's API. All members use the same port.
func (s *Server) apiAddress() string {
	_, port, _ := net.SplitHostPort(s.settings.Listen.Control)
	return net.JoinHostPort(s.settings.Ip, port)
}

// handleLeave removes a host that has drained and is about to exit. A host that leaves without draining first continues to serve
// for as long as a draining host would, so it stays listed as draining until its process has ended. A call for a host that is
// unknown or already leaving is a retry and succeeds.
func (s *Server) handleLeave(hostID string, _ apiCall, respond Responder) {
	host, known := s.state.Hosts[hostID]
	done := func(err error) { respondResult(err, respond) }
	switch {
	case !known, s.state.IsLeaving(hostID):
		respond(http.StatusOK, []byte("{}\n"))
	case host.Draining:
		s.log.Info("host removed", "id", hostID)
		s.propose(statemachine.Change{RemoveHost: hostID}, done)
	default:
		s.log.Info("host leaves without draining first", "id", hostID)
		s.propose(statemachine.Change{HostLeaving: hostID}, done)
	}
}
