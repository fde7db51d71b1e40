package gossip

// State is the state of a proxy as others know it.
type State uint8

// The states. Of two updates with the same incarnation, the one with the later state here overrides (SWIM 4.2).
const (
	Alive State = iota
	Suspect
	Dead // "confirmed" in the paper
)

// Update is what is known of one proxy.
type Update struct {
	Name, Address string
	Incarnation   uint64 // raised by the proxy itself alone, to refute a suspicion
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

// Message is sent as a datagram, and may be lost. All types piggyback updates (SWIM 4.1).
type Message struct {
	Type           MessageType
	From           string // address of the sender
	Serial         uint64 // of a Ping, chosen by its sender; an Ack and a PingRequest repeat that of their ping
	Target         string // of a PingRequest: address of the proxy to ping
	Updates        []Update
	ControlMembers []string // addresses of the members of the control plane
	ControlVersion uint64   // index in the control plane's log of ControlMembers
}

// Outgoing is a message to send to an address.
type Outgoing struct {
	To      string
	Message Message
}
