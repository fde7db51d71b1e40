package failover

import "fmt"

// EventKind says what happened to a service.
type EventKind uint8

// Kinds of events.
const (
	// FailoverStarted: the primary is revoked, and Event.Host is that primary. A switchover that comes to its end reports
	// no start of a failover.
	FailoverStarted EventKind = iota + 1
	// SwitchoverStarted: Event.Host is nominated to take over from a primary that still serves.
	SwitchoverStarted
	// NewPrimaryObserved: Event.Host was seen to lead, and its appointment is proposed.
	NewPrimaryObserved
	// ReplicaMarkedMissing: the process of Event.Host is gone, and other replicas hold all that it had received.
	ReplicaMarkedMissing
)

var eventKindTexts = [...]string{
	FailoverStarted:      "failover started",
	SwitchoverStarted:    "switchover started",
	NewPrimaryObserved:   "new primary observed",
	ReplicaMarkedMissing: "replica marked missing",
}

// String is the message of a log line.
func (k EventKind) String() string {
	if int(k) < len(eventKindTexts) && eventKindTexts[k] != "" {
		return eventKindTexts[k]
	}
	return fmt.Sprintf("EventKind(%d)", uint8(k))
}

// Event is a step of a failover or switchover that an operator wants to read of.
type Event struct {
	Service string
	Kind    EventKind
	Host    string // which host the kind speaks of
}

// String is the event on one line.
func (e Event) String() string {
	return fmt.Sprintf("%s: %s, host %s", e.Service, e.Kind, e.Host)
}
