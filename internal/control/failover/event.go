package failover

import "fmt"

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events.
const (
	// FailoverStarted means that the primary Event.Host was revoked. The revocation at the end of a switchover does not emit
	// this event.
	FailoverStarted EventKind = iota + 1
	// SwitchoverStarted means that Event.Host was nominated to replace a primary that still serves.
	SwitchoverStarted
	// NewPrimaryObserved means that Event.Host reported itself primary and its appointment is proposed.
	NewPrimaryObserved
	// ReplicaMarkedMissing means that the process of Event.Host is gone and another replica has received everything it had.
	ReplicaMarkedMissing
	// AcknowledgedWritesAwaited means that Event.Host is the most advanced known host and lacks writes that the lost primary
	// acknowledged. The failover waits until a host that has them is heard.
	AcknowledgedWritesAwaited
)

var eventKindTexts = [...]string{
	FailoverStarted:           "failover started",
	SwitchoverStarted:         "switchover started",
	NewPrimaryObserved:        "new primary observed",
	ReplicaMarkedMissing:      "replica marked missing",
	AcknowledgedWritesAwaited: "failover waits for acknowledged writes",
}

// String returns the text that is logged for the kind.
func (k EventKind) String() string {
	if int(k) < len(eventKindTexts) && eventKindTexts[k] != "" {
		return eventKindTexts[k]
	}
	return fmt.Sprintf("EventKind(%d)", uint8(k))
}

// Event is a step of a failover or switchover that is reported to the operator.
type Event struct {
	Service string
	Kind    EventKind
	Host    string // the host that the event is about; see EventKind
}

// String formats the event on one line.
func (e Event) String() string {
	return fmt.Sprintf("%s: %s, host %s", e.Service, e.Kind, e.Host)
}
