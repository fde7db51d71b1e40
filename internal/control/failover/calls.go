package failover

import (
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/wire"
)

// Verb is a question to a host.
type Verb uint8

// Verbs.
const (
	Stat Verb = iota + 1
	Pause
	Resume
	StepDown
)

var words = [...]string{Stat: "STAT", Pause: "PAUSE", Resume: "RESUME", StepDown: "STEPDOWN"}

// Text is how a host is asked.
func (v Verb) Text() string { return words[v] }

// Question is one to a host. No two are equal: a view has one leader, in one life, which numbers what it asks.
type Question struct {
	Service, Host string
	Verb          Verb
	Term          uint64 // of PAUSE and STEPDOWN
	View, Serial  uint64
}

// Reply is how a question ended.
type Reply struct {
	To      Question
	Refused bool // nothing listens there
	Silent  bool // no answer in time, or one that broke off
	Code    wire.Code
	Status  wire.Status
}

// Promotion is a call to the platform. No two are equal.
type Promotion struct {
	Service, Host, Holder string
	Fence                 uint64
	View, Serial          uint64
}

// Outcome is how a promotion's call ended.
type Outcome uint8

// Outcomes.
const (
	Done     Outcome = iota
	Rejected         // an older fence, or a host that is not running
	Unclear          // it may have been carried out
	Later            // it was not
)

type told struct {
	reply Reply
	verb  Verb
	at    int64
	sent  int64
}

type asked struct {
	question Question
	at       int64
}

// Replied takes in how a question ended; false: it is none that is out.
func (h *Hoist) Replied(r Reply, now int64) bool {
	s := h.services[r.To.Service]
	if s == nil {
		return false
	}
	if a := s.beside; a != nil && a.question == r.To {
		s.beside = nil
		if s.rows[r.To.Host].sent < a.at {
			s.rows[r.To.Host] = told{r, r.To.Verb, now, a.at}
		}
		return true
	}
	a := s.questions[r.To.Host]
	if a == nil || a.question != r.To {
		return false
	}
	delete(s.questions, r.To.Host)
	if r.Silent || r.Refused {
		s.doubt(r.To, now)
	}
	if s.rows[r.To.Host].sent <= a.at {
		s.rows[r.To.Host] = told{r, r.To.Verb, now, a.at}
	}
	return true
}

// Called takes in how a promotion's call ended; false: it is not the one that is out.
func (h *Hoist) Called(p Promotion, o Outcome, now int64) bool {
	s := h.services[p.Service]
	if s == nil || !s.calling || s.call != p {
		return false
	}
	s.calling, s.callEnded = false, now
	switch o {
	case Done:
		h.Counts.Promoted++
	case Rejected:
		s.called = ""
		s.rejected[p.Host] = now
	case Later:
		s.called = ""
	case Unclear: // it is called again, sooner than one that was told yes
		s.callEnded = now - settles + 2*renew
	}
	return true
}

// order is a verb that was said to a host.
type order struct {
	host string
	verb Verb
}

// doubt notes that an order may run at its host from now on still, and that what is in doubt there is so as before: a host
// that stands still, or a network that holds bytes back, gives them no order across connections.
func (s *service) doubt(q Question, now int64) {
	if q.Verb == Pause || q.Verb == Resume {
		s.doubted[order{q.Host, q.Verb}] = now
	}
	for o := range s.doubted {
		if o.host == q.Host {
			s.doubted[o] = now
		}
	}
}

// stands says that what a host did on an order holds: none that undoes it, of this holder or of the one before, can run
// any more. since is when the order was sent.
func (h *Hoist) stands(s *service, host string, undone Verb, since int64) bool {
	return since >= max(h.since, s.doubted[order{host, undone}])+lingers
}

// ask asks a host, unless a question to it is out, or one like it was asked less than a while ago.
func (h *Hoist) ask(do *Todo, s *service, host string, v Verb, term uint64, every, now int64) {
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
	q := Question{s.name, host, v, term, h.view, h.serial}
	s.questions[host] = &asked{q, now}
	do.Questions = append(do.Questions, q)
}

// answered gives a host's row if it is of this verb and no older than a while.
func (s *service) answered(host string, v Verb, since int64) (wire.Status, bool) {
	r, ok := s.rows[host]
	if !ok || r.verb != v || r.sent < since || r.reply.Refused || r.reply.Silent || r.reply.Code != "" {
		return wire.Status{}, false
	}
	return r.reply.Status, true
}

// look asks the host that was named to the platform whether it leads by now.
func (h *Hoist) look(do *Todo, state *statemachine.State, s *service, now int64) {
	if r, ok := s.rows[s.called]; ok && r.sent >= s.calledAt && (r.reply.Silent || r.reply.Refused) {
		s.gaveNone = true
	}
	every := int64(quick)
	if b := h.beats[s.called]; b.Leader && b.At >= s.calledAt || state.Took > 0 && now >= s.calledAt+state.Took*4/5 {
		every = closing
	}
	h.ask(do, s, s.called, Stat, 0, every, now)
}

func (h *Hoist) call(do *Todo, s *service, lead statemachine.Lead, host string, now int64) {
	if s.calling || s.proposed > 0 || s.calledAt > 0 && now < s.calledAt+renew && s.called == host {
		return
	}
	h.serial++
	s.calling, s.called, s.calledAt = true, host, now
	s.call = Promotion{s.name, host, h.self, lead.Fence, h.view, h.serial}
	do.Promote = append(do.Promote, s.call)
}
