package failover

import (
	"ferrypitch/internal/statemachine"
)

// evaluation is the context in which a tick or event evaluates services, one after another.
type evaluation struct {
	coordinator *Coordinator
	state       *statemachine.State
	allCaughtUp func(index uint64) bool
	nowMs       int64
	actions     *Actions

	// The service being evaluated.
	service *serviceState
	primary statemachine.Primary // as recorded in the log
	hostIDs []string             // of all hosts of the service, including the primary, sorted
}

// stepResult tells whether the remaining steps run in this evaluation.
type stepResult uint8

const (
	proceed stepResult = iota // the next step may run
	stop                      // end this evaluation: the step waits for an action or an event
)

// step is one part of a failover, a switchover or the monitoring of a service. Each evaluation restarts at the first step of
// the table, so a step determines from the log and from the hosts' answers whether its work is already done.
type step func(*evaluation) stepResult

func (e *evaluation) run(steps []step) {
	for _, next := range steps {
		if next(e) == stop {
			return
		}
	}
}

// evaluate runs the steps that match a service's state in the log, and reschedules the service.
func (e *evaluation) evaluate(name string) {
	primary, known := e.state.Primaries[name]
	e.service = e.coordinator.service(name)
	e.primary = primary
	e.hostIDs = e.state.HostIDs(name)
	e.coordinator.Counters.Evaluated++
	delete(e.coordinator.schedule.awaitedIndex, name)
	defer e.reschedule()
	switch {
	case !known:
		e.discoverPrimary()
	case primary.Revoked:
		e.run(failoverSteps)
	case primary.Nominee != "":
		e.run(switchoverSteps)
	default:
		e.run(monitorSteps)
	}
}

// isRegistered reports whether the log lists a host.
func (e *evaluation) isRegistered(host string) bool {
	_, registered := e.state.Hosts[host]
	return registered
}

// isPlausibleTerm reports whether a host's term is close enough to the primary's to be trusted.
func (e *evaluation) isPlausibleTerm(term uint64) bool { return term < e.primary.Term+maxTermGap }

// ownsTransition reports whether the log names this member as the owner of the failover or switchover.
func (e *evaluation) ownsTransition() bool { return e.primary.Owner == e.coordinator.memberID }

// beginTransition records when this member started the failover or switchover in progress, and emits the given event. Once that
// is recorded, it does nothing.
func (e *evaluation) beginTransition(kind EventKind, host string) {
	if e.service.startedAt != 0 {
		return
	}
	e.service.startedAt = e.nowMs
	e.emit(kind, host)
}

func (e *evaluation) emit(kind EventKind, host string) {
	e.coordinator.OnEvent(Event{Service: e.service.name, Kind: kind, Host: host})
}

// propose proposes a change to the log, unless a proposal for the service is pending. A proposal that was not applied within
// proposalTimeoutMs counts as lost.
func (e *evaluation) propose(change statemachine.Change) {
	if e.service.proposedAt == 0 || e.nowMs > e.service.proposedAt+proposalTimeoutMs {
		e.service.proposedAt = e.nowMs
		e.actions.Proposals = append(e.actions.Proposals, change)
	}
}

func (e *evaluation) proposeRevocation() {
	e.propose(statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: e.service.name, Owner: e.coordinator.memberID}})
}

func (e *evaluation) proposeNomination(host string) {
	e.propose(statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: e.service.name, Host: host, Owner: e.coordinator.memberID}})
}

func (e *evaluation) proposeAppointment(appointment statemachine.AppointPrimary) {
	e.propose(statemachine.Change{AppointPrimary: &appointment})
}
