package gossip

// State is the state of a proxy, as seen by another proxy.
type State uint8

// The states of a proxy. Of two updates with the same incarnation, the one with the higher state takes precedence (SWIM 4.2).
const (
	Alive State = iota
	Suspect
	Dead // "confirmed" in the paper
)

// Update announces the state of one proxy.
type Update struct {
	Name, Address string
	Incarnation   uint64 // incremented only by the proxy itself, to refute a suspicion
	State         State
}

// MessageType is the type of a Message.
type MessageType uint8

// The message types (SWIM 3.1).
const (
	Ping MessageType = iota + 1
	Ack
	PingRequest // ping-req: asks for an indirect ping of Target
)

// Message is sent as a datagram, and may be lost. Messages of all types carry piggybacked updates (SWIM 4.1).
type Message struct {
	Type           MessageType
	From           string // address of the sender
	Serial         uint64 // identifies a Ping of its sender; copied to the Ack and to PingRequests for the same probe
	Target         string // address of the proxy to ping; only in a PingRequest
	Updates        []Update
	ControlMembers []string // addresses of the control-plane members
	ControlVersion uint64   // index in the control plane's log that ControlMembers is from
}

// Outgoing is a message to send, with the address to send it to.
type Outgoing struct {
	To      string
	Message Message
}
