package control

import (
	"maps"
	"slices"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/rpc"
)

// Most that is on its way to the member that leads at once, and callers of whom it is remembered what they asked.
const (
	mostPassed      = 4096
	mostPassedBytes = 32 << 20
	mostAskers      = 64
)

// passing is the account of calls that are passed on. An answer counts once, for the very call that is out in this life,
// from the member that was asked; a call is carried out once, for a member of this control plane that asks this one as
// the leader of the present view.
type passing struct {
	life   uint64
	serial uint64
	passed map[uint64]passed
	bytes  int // of the calls that are out
	heard  map[asker]*window
	order  []asker // of heard, the oldest first
}

// passed is a call that another member was asked to answer.
type passed struct {
	mark   rpc.CallID
	to     consensus.ID
	bytes  int
	answer func(status int, body []byte)
	until  int64
}

// asker is a member in one life.
type asker struct {
	id   consensus.ID
	life uint64
}

func newPassing(life uint64) passing {
	return passing{life: life, passed: map[uint64]passed{}, heard: map[asker]*window{}}
}

// stray is why something that came was ignored or refused.
type stray int

const (
	askUnknown    stray = iota // of a process that is no member, learner or seed, or not where it says
	askElsewhere               // to another member, or to the leader of another view
	askTwice                   // carried out before
	askTooMany                 // more than may be out at once, here
	answerUnknown              // to no call of this life
	answerLate                 // to a call that is out no more: late, or twice
	answerLife                 // to another life or another member's call
	answerOther                // from another member than was asked
	answerOdd                  // no status
	messageAstray              // of the log: not from where its sender is
	replyStray                 // of a host or the platform, to no question of this view that is out
	strays
)

var strayNames = [strays]string{askUnknown: "asks_of_unknown", askElsewhere: "asks_misdirected", askTwice: "asks_repeated",
	askTooMany: "asks_over_limit", answerUnknown: "answers_to_nothing", answerLate: "answers_late", answerLife: "answers_of_other_life",
	answerOther: "answers_of_other_member", answerOdd: "answers_malformed", messageAstray: "messages_of_another", replyStray: "replies_stray"}

func (f *Server) ignored(why stray) { f.Strays[why].Add(1) }

// passOn asks the member that leads to answer a call, once: whoever calls comes again by itself.
func (f *Server) passOn(to consensus.ID, in call, within int64, answer func(int, []byte)) {
	if len(f.passed) >= mostPassed || f.bytes+len(in.body) > mostPassedBytes {
		f.ignored(askTooMany)
		refuse(answer, errcode.NoLeader, nil)
		return
	}
	f.Passed.Add(1)
	f.serial++
	m := rpc.CallID{From: f.id, Incarnation: f.life, Term: f.core.Term(), Serial: f.serial}
	f.passed[f.serial] = passed{m, to, len(in.body), answer, f.clock.Now() + within}
	f.bytes += len(in.body)
	f.reach.Send(to.Address(), &rpc.Frame{ForwardRequest: &rpc.ForwardRequest{CallID: m, To: to, Method: in.method, Path: in.path, BaseVersion: in.base, Body: in.body}})
}

// over forgets a call that is out.
func (p *passing) over(serial uint64) {
	p.bytes -= p.passed[serial].bytes
	delete(p.passed, serial)
}

// expire gives up calls whose callers wait no longer, and those at a member that is not heard as the leader any more.
func (f *Server) expire(now int64) {
	for _, serial := range slices.Sorted(maps.Keys(f.passed)) {
		p := f.passed[serial]
		if now <= p.until && p.to == f.core.RecentLeader(now) {
			continue
		}
		f.over(serial)
		refuse(p.answer, errcode.NoLeader, nil)
	}
}

// answered takes in an answer.
func (f *Server) answered(from string, a *rpc.ForwardResponse) {
	p, out := f.passed[a.Serial]
	switch {
	case a.From != f.id || a.Incarnation != f.life:
		f.ignored(answerLife)
	case a.Serial == 0 || a.Serial > f.serial:
		f.ignored(answerUnknown)
	case !out:
		f.ignored(answerLate)
	case a.By != p.to || from != p.to.Address() || a.CallID != p.mark:
		f.ignored(answerOther)
	case a.Status < 200 || a.Status > 599:
		f.ignored(answerOdd)
	default:
		f.over(a.Serial)
		p.answer(a.Status, a.Body)
	}
}

// asked carries out a call that another member passes on.
func (f *Server) asked(from string, a *rpc.ForwardRequest) {
	answer := func(status int, body []byte) {
		f.reach.Send(from, &rpc.Frame{ForwardResponse: &rpc.ForwardResponse{CallID: a.CallID, By: f.id, Status: status, Body: body}})
	}
	switch {
	case a.From.Address() != from || !f.knows(a.From):
		f.ignored(askUnknown)
	case a.To != f.id || a.Term != f.core.Term():
		f.ignored(askElsewhere)
		refuse(answer, errcode.NoLeader, nil) // its caller goes on to another at once
	case !f.first(asker{a.From, a.Incarnation}, a.Serial):
		f.ignored(askTwice)
	default:
		f.handle(call{a.Method, a.Path, a.BaseVersion, a.Body}, false, answer)
	}
}

// knows says whether a process may pass calls on: a member, one that learns, or one at an address of the settings.
func (f *Server) knows(id consensus.ID) bool {
	return slices.Contains(f.core.Members(), id) || slices.Contains(f.core.Status(f.clock.Now()).Learners, id) ||
		slices.Contains(f.plate.SeedHosts(), id.Address())
}

// first says that a call was not carried out before.
func (p *passing) first(who asker, serial uint64) bool {
	w := p.heard[who]
	if w == nil {
		if p.order = append(p.order, who); len(p.order) > mostAskers {
			delete(p.heard, p.order[0])
			p.order = slices.Delete(p.order, 0, 1)
		}
		w = &window{}
		p.heard[who] = w
	}
	return w.take(serial)
}

// window remembers which serials of one asker came: the greatest, and of those shortly before it which did.
type window struct{ newest, seen uint64 }

// take says that a serial comes for the first time; one too far back counts as seen.
func (w *window) take(serial uint64) bool {
	switch {
	case serial > w.newest:
		if by := serial - w.newest; by < 64 {
			w.seen = w.seen<<by | 1
		} else {
			w.seen = 1
		}
		w.newest = serial
		return true
	case w.newest-serial >= 64 || w.seen&(1<<(w.newest-serial)) != 0:
		return false
	}
	w.seen |= 1 << (w.newest - serial)
	return true
}
