package failover

import (
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/wire"
)

// Command is a question to a host.
type Command uint8

// Verbs.
const (
	Stat Command = iota + 1
	Pause
	Resume
	StepDown
)

var commandTexts = [...]string{Stat: "STAT", Pause: "PAUSE", Resume: "RESUME", StepDown: "STEPDOWN"}

// Text is how a host is asked.
func (v Command) Text() string { return commandTexts[v] }

// HostQuery is one to a host. No two are equal: a view has one leader, in one life, which numbers what it asks.
type HostQuery struct {
	Service, Host      string
	Command            Command
	Term               uint64 // of PAUSE and STEPDOWN
	LeaderTerm, Serial uint64
}

// QueryResult is how a question ended.
type QueryResult struct {
	Query             HostQuery
	ConnectionRefused bool // nothing listens there
	TimedOut          bool // no answer in time, or one that broke off
	Code              wire.Code
	Status            wire.HostStatus
}

// Promotion is a call to the platform. No two are equal.
type Promotion struct {
	Service, Host, Owner string
	FencingToken         uint64
	LeaderTerm, Serial   uint64
}

// PromotionOutcome is how a promotion's call ended.
type PromotionOutcome uint8

// Outcomes.
const (
	PromotionSucceeded   PromotionOutcome = iota
	PromotionRejected                     // an older fence, or a host that is not running
	PromotionUnknown                      // it may have been carried out
	PromotionNotExecuted                  // it was not
)

type hostResult struct {
	result     QueryResult
	command    Command
	receivedAt int64
	sentAt     int64
}

type pendingQuery struct {
	query  HostQuery
	sentAt int64
}

// QueryFinished takes in how a question ended; false: it is none that is out.
func (c *Coordinator) QueryFinished(r QueryResult, now int64) bool {
	s := c.services[r.Query.Service]
	if s == nil {
		return false
	}
	if a := s.hedgedQuery; a != nil && a.query == r.Query {
		s.hedgedQuery = nil
		if s.lastResults[r.Query.Host].sentAt < a.sentAt {
			s.lastResults[r.Query.Host] = hostResult{r, r.Query.Command, now, a.sentAt}
		}
		return true
	}
	a := s.pendingQueries[r.Query.Host]
	if a == nil || a.query != r.Query {
		return false
	}
	delete(s.pendingQueries, r.Query.Host)
	if r.TimedOut || r.ConnectionRefused {
		s.markUncertain(r.Query, now)
	}
	if s.lastResults[r.Query.Host].sentAt <= a.sentAt {
		s.lastResults[r.Query.Host] = hostResult{r, r.Query.Command, now, a.sentAt}
	}
	return true
}

// PromotionFinished takes in how a promotion's call ended; false: it is not the one that is out.
func (c *Coordinator) PromotionFinished(p Promotion, o PromotionOutcome, now int64) bool {
	s := c.services[p.Service]
	if s == nil || !s.promotionPending || s.promotion != p {
		return false
	}
	s.promotionPending, s.promotionEndedAt = false, now
	switch o {
	case PromotionSucceeded:
		c.Counters.Promoted++
	case PromotionRejected:
		s.promotedHost = ""
		s.rejectedAt[p.Host] = now
	case PromotionNotExecuted:
		s.promotedHost = ""
	case PromotionUnknown: // it is called again, sooner than one that was told yes
		s.promotionEndedAt = now - promotionTimeoutMs + 2*promotionRetryMs
	}
	return true
}

// hostCommand is a verb that was said to a host.
type hostCommand struct {
	host    string
	command Command
}

// markUncertain notes that an order may run at its host from now on still, and that what is in doubt there is so as before: a host
// that stands still, or a network that holds bytes back, gives them no order across connections.
func (s *serviceState) markUncertain(q HostQuery, now int64) {
	if q.Command == Pause || q.Command == Resume {
		s.uncertainCommands[hostCommand{q.Host, q.Command}] = now
	}
	for o := range s.uncertainCommands {
		if o.host == q.Host {
			s.uncertainCommands[o] = now
		}
	}
}

// cannotBeUndone says that what a host did on an order holds: none that undoes it, of this holder or of the one before, can run
// any more. since is when the order was sent.
func (c *Coordinator) cannotBeUndone(s *serviceState, host string, undone Command, since int64) bool {
	return since >= max(c.leaderSince, s.uncertainCommands[hostCommand{host, undone}])+staleCommandMs
}

// query asks a host, unless a question to it is out, or one like it was asked less than a while ago.
func (c *Coordinator) query(do *Actions, s *serviceState, host string, v Command, term uint64, every, now int64) {
	if a := s.pendingQueries[host]; a != nil {
		if now < a.sentAt+2*queryTimeoutMs {
			return
		}
		delete(s.pendingQueries, host)
		s.markUncertain(a.query, now)
	}
	if r, ok := s.lastResults[host]; ok && r.command == v && now < r.sentAt+every {
		return
	}
	c.lastSerial++
	q := HostQuery{s.name, host, v, term, c.leaderTerm, c.lastSerial}
	s.pendingQueries[host] = &pendingQuery{q, now}
	do.Queries = append(do.Queries, q)
}

// successSince gives a host's row if it is of this verb and no older than a while.
func (s *serviceState) successSince(host string, v Command, since int64) (wire.HostStatus, bool) {
	r, ok := s.lastResults[host]
	if !ok || r.command != v || r.sentAt < since || r.result.ConnectionRefused || r.result.TimedOut || r.result.Code != "" {
		return wire.HostStatus{}, false
	}
	return r.result.Status, true
}

// pollPromotedHost asks the host that was named to the platform whether it leads by now.
func (c *Coordinator) pollPromotedHost(do *Actions, state *statemachine.State, s *serviceState, now int64) {
	if r, ok := s.lastResults[s.promotedHost]; ok && r.sentAt >= s.promotionSentAt && (r.result.TimedOut || r.result.ConnectionRefused) {
		s.promotedHostFailed = true
	}
	every := int64(nomineePollIntervalMs)
	if h := c.heartbeats[s.promotedHost]; h.IsPrimary && h.At >= s.promotionSentAt || state.LastPromotionMs > 0 && now >= s.promotionSentAt+state.LastPromotionMs*4/5 {
		every = fastPollIntervalMs
	}
	c.query(do, s, s.promotedHost, Stat, 0, every, now)
}

func (c *Coordinator) requestPromotion(do *Actions, s *serviceState, lead statemachine.Primary, host string, now int64) {
	if s.promotionPending || s.proposedAt > 0 || s.promotionSentAt > 0 && now < s.promotionSentAt+promotionRetryMs && s.promotedHost == host {
		return
	}
	c.lastSerial++
	s.promotionPending, s.promotedHost, s.promotionSentAt = true, host, now
	s.promotion = Promotion{s.name, host, c.self, lead.FencingToken, c.leaderTerm, c.lastSerial}
	do.Promotions = append(do.Promotions, s.promotion)
}
