package hoist

import (
	"ferrypitch/internal/rack"
	"ferrypitch/internal/scribe"
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

// Question is one to a host.
type Question struct {
	Service, Host string
	Verb          Verb
	Term          uint64 // of PAUSE and STEPDOWN
	Serial        uint64
}

// Reply is how a question ended.
type Reply struct {
	Serial  uint64
	Refused bool // nothing listens there
	Silent  bool // no answer in time, or one that broke off
	Code    scribe.Code
	Status  scribe.Status
}

// Promotion is a call to the platform.
type Promotion struct {
	Service, Host, Holder string
	Fence                 uint64
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

// Replied takes in how a question ended.
func (h *Hoist) Replied(r Reply, now int64) {
	for _, s := range h.services {
		if a := s.beside; a != nil && a.question.Serial == r.Serial {
			s.beside = nil
			if s.rows[a.question.Host].sent < a.at {
				s.rows[a.question.Host] = told{r, a.question.Verb, now, a.at}
			}
			return
		}
		for host, a := range s.questions {
			if a.question.Serial != r.Serial {
				continue
			}
			delete(s.questions, host)
			if s.rows[host].sent <= a.at {
				s.rows[host] = told{r, a.question.Verb, now, a.at}
			}
			return
		}
	}
}

// Called takes in how a promotion's call ended.
func (h *Hoist) Called(name, host string, o Outcome, now int64) {
	s := h.service(name)
	s.calling, s.callEnded = false, now
	switch o {
	case Done:
		h.Counts.Promoted++
	case Rejected:
		s.called = ""
		s.rejected[host] = now
	case Later:
		s.called = ""
	case Unclear: // it is called again, sooner than one that was told yes
		s.callEnded = now - settles + 2*renew
	}
}

// ask asks a host, unless a question to it is out, or one like it was asked less than a while ago.
func (h *Hoist) ask(do *Todo, s *service, host string, v Verb, term uint64, every, now int64) {
	if a := s.questions[host]; a != nil {
		if now < a.at+2*patience {
			return
		}
		delete(s.questions, host)
	}
	if r, ok := s.rows[host]; ok && r.verb == v && now < r.sent+every {
		return
	}
	h.serial++
	q := Question{s.name, host, v, term, h.serial}
	s.questions[host] = &asked{q, now}
	do.Questions = append(do.Questions, q)
}

// answered gives a host's row if it is of this verb and no older than a while.
func (s *service) answered(host string, v Verb, since int64) (scribe.Status, bool) {
	r, ok := s.rows[host]
	if !ok || r.verb != v || r.sent < since || r.reply.Refused || r.reply.Silent || r.reply.Code != "" {
		return scribe.Status{}, false
	}
	return r.reply.Status, true
}

// look asks the host that was named to the platform whether it leads by now.
func (h *Hoist) look(do *Todo, state *rack.State, s *service, now int64) {
	if r, ok := s.rows[s.called]; ok && r.sent >= s.calledAt && (r.reply.Silent || r.reply.Refused) {
		s.gaveNone = true
	}
	every := int64(quick)
	if b := h.beats[s.called]; b.Leader && b.At >= s.calledAt || state.Took > 0 && now >= s.calledAt+state.Took*4/5 {
		every = closing
	}
	h.ask(do, s, s.called, Stat, 0, every, now)
}

func (h *Hoist) call(do *Todo, s *service, lead rack.Lead, host string, now int64) {
	if s.calling || s.proposed > 0 || s.calledAt > 0 && now < s.calledAt+renew && s.called == host {
		return
	}
	s.calling, s.called, s.calledAt = true, host, now
	do.Promote = append(do.Promote, Promotion{s.name, host, h.self, lead.Fence})
}
