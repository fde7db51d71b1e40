package failover

import (
	"ferrypitch/internal/wire"
)

// Command is a command sent to a host.
type Command uint8

// Commands that a coordinator sends to hosts.
const (
	Stat     Command = iota + 1 // report the status
	Pause                       // stop receiving from the primary, and report the status
	Resume                      // receive from the primary again
	StepDown                    // stop acting as primary in terms before the given one
)

var commandTexts = [...]string{Stat: "STAT", Pause: "PAUSE", Resume: "RESUME", StepDown: "STEPDOWN"}

// Text returns the command's keyword in the host protocol.
func (c Command) Text() string { return commandTexts[c] }

// HostQuery is one command for one host. Each query is unique: a control-plane term has only one leader, and its coordinator
// numbers the queries and promotions it sends.
type HostQuery struct {
	Service, Host      string
	Command            Command
	Term               uint64 // database term; set for Pause and StepDown
	LeaderTerm, Serial uint64 // control-plane term, and the serial number within that term
}

// QueryResult is the result of a query.
type QueryResult struct {
	Query             HostQuery
	ConnectionRefused bool      // nothing listens at the host's address
	Replaced          bool      // another host listens at the address: it may have the host's log, and receive writes
	TimedOut          bool      // no answer came in time, or the connection broke: the command may have been executed
	Code              wire.Code // error code returned by the host; empty if none
	Status            wire.HostStatus
}

// answered reports whether the host answered, even if with an error.
func (r *QueryResult) answered() bool { return !r.TimedOut && !r.HasEnded() }

// HasEnded reports whether the result shows that the host's process has ended.
func (r *QueryResult) HasEnded() bool { return r.ConnectionRefused || r.Replaced }

// succeeded reports whether the host answered without an error.
func (r *QueryResult) succeeded() bool { return r.answered() && r.Code == "" }

// hostResult is a query result with the times when the query was sent and its result received.
type hostResult struct {
	QueryResult
	receivedAt int64
	sentAt     int64
}

func (r *hostResult) isOf(command Command) bool { return r.Query.Command == command }

// pendingQuery is a query without a result yet.
type pendingQuery struct {
	query  HostQuery
	sentAt int64
}

// hostCommand identifies a command type at a host, regardless of the query that carries it.
type hostCommand struct {
	host    string
	command Command
}

// QueryFinished records the result of a query. It returns false and ignores the result if that query is not pending.
func (c *Coordinator) QueryFinished(result QueryResult, nowMs int64) bool {
	service, host := c.services[result.Query.Service], result.Query.Host
	if service == nil {
		return false
	}
	if hedged := service.hedgedQuery; hedged != nil && hedged.query == result.Query {
		c.schedule.wake(service.name)
		service.hedgedQuery = nil
		if service.lastResults[host].sentAt < hedged.sentAt {
			service.lastResults[host] = hostResult{result, nowMs, hedged.sentAt}
		}
		return true
	}
	pending := service.pendingQueries[host]
	if pending == nil || pending.query != result.Query {
		return false
	}
	c.schedule.wake(service.name)
	delete(service.pendingQueries, host)
	if !result.answered() {
		service.markUncertain(result.Query, nowMs)
	}
	if service.lastResults[host].sentAt <= pending.sentAt {
		service.lastResults[host] = hostResult{result, nowMs, pending.sentAt}
	}
	return true
}

// query sends a command to a host, unless a query to the host is pending or its last result is for the same command and was
// requested less than intervalMs ago. term applies to Pause and StepDown.
func (e *evaluation) query(host string, command Command, term uint64, intervalMs int64) {
	service := e.service
	if pending := service.pendingQueries[host]; pending != nil {
		if e.nowMs < pending.sentAt+2*queryTimeoutMs {
			return
		}
		delete(service.pendingQueries, host)
		service.markUncertain(pending.query, e.nowMs)
	}
	if last, ok := service.lastResults[host]; ok && last.isOf(command) && e.nowMs < last.sentAt+intervalMs {
		return
	}
	service.pendingQueries[host] = e.send(host, command, term)
}

// send adds a query to the actions. The caller stores the returned value until the query finishes.
func (e *evaluation) send(host string, command Command, term uint64) *pendingQuery {
	query := HostQuery{
		Service:    e.service.name,
		Host:       host,
		Command:    command,
		Term:       term,
		LeaderTerm: e.coordinator.leaderTerm,
		Serial:     e.coordinator.nextSerial(),
	}
	e.actions.Queries = append(e.actions.Queries, query)
	return &pendingQuery{query: query, sentAt: e.nowMs}
}

// statusSince returns a host's status if its last result is a successful one for this command, sent at or after since.
func (s *serviceState) statusSince(host string, command Command, since int64) (wire.HostStatus, bool) {
	last, ok := s.lastResults[host]
	if !ok || !last.isOf(command) || last.sentAt < since || !last.succeeded() {
		return wire.HostStatus{}, false
	}
	return last.Status, true
}

// markUncertain records at nowMs that an unanswered command may still be executed. It extends the uncertainty of all other
// uncertain commands at the same host too: a stalled host or a network that delays packets does not preserve the order
// between connections.
func (s *serviceState) markUncertain(query HostQuery, nowMs int64) {
	if query.Command == Pause || query.Command == Resume {
		s.uncertainCommands[hostCommand{query.Host, query.Command}] = nowMs
	}
	for uncertain := range s.uncertainCommands {
		if uncertain.host == query.Host {
			s.uncertainCommands[uncertain] = nowMs
		}
	}
}

// cannotBeUndone reports whether the effect of a command sent at sentAt is final: no undoing command from this leader or the
// previous one can still be executed at the host.
func (e *evaluation) cannotBeUndone(host string, undoing Command, sentAt int64) bool {
	uncertainSince := e.service.uncertainCommands[hostCommand{host, undoing}]
	return sentAt >= max(e.coordinator.leaderSince, uncertainSince)+staleCommandMs
}
