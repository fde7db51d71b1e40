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

var words = [...]string{Stat: "STAT", Pause: "PAUSE", Resume: "RESUME", StepDown: "STEPDOWN"}

// Text is how a host is asked.
func (v Command) Text() string { return words[v] }

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

type told struct {
	reply QueryResult
	verb  Command
	at    int64
	sent  int64
}

type asked struct {
	question HostQuery
	at       int64
}

// QueryFinished takes in how a question ended; false: it is none that is out.
func (h *Coordinator) QueryFinished(r QueryResult, now int64) bool {
	s := h.services[r.Query.Service]
	if s == nil {
		return false
	}
	if a := s.beside; a != nil && a.question == r.Query {
		s.beside = nil
		if s.rows[r.Query.Host].sent < a.at {
			s.rows[r.Query.Host] = told{r, r.Query.Command, now, a.at}
		}
		return true
	}
	a := s.questions[r.Query.Host]
	if a == nil || a.question != r.Query {
		return false
	}
	delete(s.questions, r.Query.Host)
	if r.TimedOut || r.ConnectionRefused {
		s.doubt(r.Query, now)
	}
	if s.rows[r.Query.Host].sent <= a.at {
		s.rows[r.Query.Host] = told{r, r.Query.Command, now, a.at}
	}
	return true
}

// PromotionFinished takes in how a promotion's call ended; false: it is not the one that is out.
func (h *Coordinator) PromotionFinished(p Promotion, o PromotionOutcome, now int64) bool {
	s := h.services[p.Service]
	if s == nil || !s.calling || s.call != p {
		return false
	}
	s.calling, s.callEnded = false, now
	switch o {
	case PromotionSucceeded:
		h.Counters.Promoted++
	case PromotionRejected:
		s.called = ""
		s.rejected[p.Host] = now
	case PromotionNotExecuted:
		s.called = ""
	case PromotionUnknown: // it is called again, sooner than one that was told yes
		s.callEnded = now - settles + 2*renew
	}
	return true
}

// order is a verb that was said to a host.
type order struct {
	host string
	verb Command
}

// doubt notes that an order may run at its host from now on still, and that what is in doubt there is so as before: a host
// that stands still, or a network that holds bytes back, gives them no order across connections.
func (s *service) doubt(q HostQuery, now int64) {
	if q.Command == Pause || q.Command == Resume {
		s.doubted[order{q.Host, q.Command}] = now
	}
	for o := range s.doubted {
		if o.host == q.Host {
			s.doubted[o] = now
		}
	}
}

// stands says that what a host did on an order holds: none that undoes it, of this holder or of the one before, can run
// any more. since is when the order was sent.
func (h *Coordinator) stands(s *service, host string, undone Command, since int64) bool {
	return since >= max(h.since, s.doubted[order{host, undone}])+lingers
}

// ask asks a host, unless a question to it is out, or one like it was asked less than a while ago.
func (h *Coordinator) ask(do *Actions, s *service, host string, v Command, term uint64, every, now int64) {
	if a := s.questions[host]; a != nil {
		if now < a.at+2*patience {
			return
		}
		delete(s.questions, host)
		s.doubt(a.question, now)
	}
	if r, ok := s.rows[host]; ok && r.verb == v && now < r.sent+every {
		return
	}
	h.serial++
	q := HostQuery{s.name, host, v, term, h.view, h.serial}
	s.questions[host] = &asked{q, now}
	do.Queries = append(do.Queries, q)
}

// answered gives a host's row if it is of this verb and no older than a while.
func (s *service) answered(host string, v Command, since int64) (wire.HostStatus, bool) {
	r, ok := s.rows[host]
	if !ok || r.verb != v || r.sent < since || r.reply.ConnectionRefused || r.reply.TimedOut || r.reply.Code != "" {
		return wire.HostStatus{}, false
	}
	return r.reply.Status, true
}

// look asks the host that was named to the platform whether it leads by now.
func (h *Coordinator) look(do *Actions, state *statemachine.State, s *service, now int64) {
	if r, ok := s.rows[s.called]; ok && r.sent >= s.calledAt && (r.reply.TimedOut || r.reply.ConnectionRefused) {
		s.gaveNone = true
	}
	every := int64(quick)
	if b := h.beats[s.called]; b.IsPrimary && b.At >= s.calledAt || state.LastPromotionMs > 0 && now >= s.calledAt+state.LastPromotionMs*4/5 {
		every = closing
	}
	h.ask(do, s, s.called, Stat, 0, every, now)
}

func (h *Coordinator) call(do *Actions, s *service, lead statemachine.Primary, host string, now int64) {
	if s.calling || s.proposed > 0 || s.calledAt > 0 && now < s.calledAt+renew && s.called == host {
		return
	}
	h.serial++
	s.calling, s.called, s.calledAt = true, host, now
	s.call = Promotion{s.name, host, h.self, lead.FencingToken, h.view, h.serial}
	do.Promotions = append(do.Promotions, s.call)
}
