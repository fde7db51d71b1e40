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
	maxForwarded      = 4096
	maxForwardedBytes = 32 << 20
	maxRequesters     = 64
)

// forwarder is the account of calls that are passed on. An answer counts once, for the very call that is out in this life,
// from the member that was asked; a call is carried out once, for a member of this control plane that asks this one as
// the leader of the present view.
type forwarder struct {
	incarnation  uint64
	serial       uint64
	pending      map[uint64]forwardedCall
	pendingBytes int // of the calls that are out
	served       map[requester]*serialWindow
	servedOrder  []requester // of heard, the oldest first
}

// forwardedCall is a call that another member was asked to answer.
type forwardedCall struct {
	id         rpc.CallID
	to         consensus.ID
	bytes      int
	answer     func(status int, body []byte)
	deadlineMs int64
}

// requester is a member in one life.
type requester struct {
	id          consensus.ID
	incarnation uint64
}

func newForwarder(life uint64) forwarder {
	return forwarder{incarnation: life, pending: map[uint64]forwardedCall{}, served: map[requester]*serialWindow{}}
}

// discardReason is why something that came was ignored or refused.
type discardReason int

const (
	requestUnknownSender     discardReason = iota // of a process that is no member, learner or seed, or not where it says
	requestMisdirected                            // to another member, or to the leader of another view
	requestRepeated                               // carried out before
	requestOverLimit                              // more than may be out at once, here
	responseUnknownCall                           // to no call of this life
	responseLate                                  // to a call that is out no more: late, or twice
	responseOtherIncarnation                      // to another life or another member's call
	responseOtherMember                           // from another member than was asked
	responseMalformed                             // no status
	messageWrongSender                            // of the log: not from where its sender is
	resultUnsolicited                             // of a host or the platform, to no question of this view that is out
	discardReasonCount
)

var discardCounterNames = [discardReasonCount]string{requestUnknownSender: "asks_of_unknown", requestMisdirected: "asks_misdirected", requestRepeated: "asks_repeated",
	requestOverLimit: "asks_over_limit", responseUnknownCall: "answers_to_nothing", responseLate: "answers_late", responseOtherIncarnation: "answers_of_other_life",
	responseOtherMember: "answers_of_other_member", responseMalformed: "answers_malformed", messageWrongSender: "messages_of_another", resultUnsolicited: "replies_stray"}

func (f *Server) discard(why discardReason) { f.Discarded[why].Add(1) }

// forward asks the member that leads to answer a call, once: whoever calls comes again by itself.
func (f *Server) forward(to consensus.ID, in apiCall, within int64, answer func(int, []byte)) {
	if len(f.pending) >= maxForwarded || f.pendingBytes+len(in.body) > maxForwardedBytes {
		f.discard(requestOverLimit)
		reject(answer, errcode.NoLeader, nil)
		return
	}
	f.CallsForwarded.Add(1)
	f.serial++
	m := rpc.CallID{From: f.id, Incarnation: f.incarnation, Term: f.consensus.Term(), Serial: f.serial}
	f.pending[f.serial] = forwardedCall{m, to, len(in.body), answer, f.clock.Now() + within}
	f.pendingBytes += len(in.body)
	f.environment.Send(to.Address(), &rpc.Frame{ForwardRequest: &rpc.ForwardRequest{CallID: m, To: to, Method: in.method, Path: in.path, BaseVersion: in.base, Body: in.body}})
}

// forget forgets a call that is out.
func (p *forwarder) forget(serial uint64) {
	p.pendingBytes -= p.pending[serial].bytes
	delete(p.pending, serial)
}

// expireForwarded gives up calls whose callers wait no longer, and those at a member that is not heard as the leader any more.
func (f *Server) expireForwarded(now int64) {
	for _, serial := range slices.Sorted(maps.Keys(f.pending)) {
		p := f.pending[serial]
		if now <= p.deadlineMs && p.to == f.consensus.RecentLeader(now) {
			continue
		}
		f.forget(serial)
		reject(p.answer, errcode.NoLeader, nil)
	}
}

// handleForwardResponse takes in an answer.
func (f *Server) handleForwardResponse(from string, a *rpc.ForwardResponse) {
	p, out := f.pending[a.Serial]
	switch {
	case a.From != f.id || a.Incarnation != f.incarnation:
		f.discard(responseOtherIncarnation)
	case a.Serial == 0 || a.Serial > f.serial:
		f.discard(responseUnknownCall)
	case !out:
		f.discard(responseLate)
	case a.By != p.to || from != p.to.Address() || a.CallID != p.id:
		f.discard(responseOtherMember)
	case a.Status < 200 || a.Status > 599:
		f.discard(responseMalformed)
	default:
		f.forget(a.Serial)
		p.answer(a.Status, a.Body)
	}
}

// handleForwardRequest carries out a call that another member passes on.
func (f *Server) handleForwardRequest(from string, a *rpc.ForwardRequest) {
	answer := func(status int, body []byte) {
		f.environment.Send(from, &rpc.Frame{ForwardResponse: &rpc.ForwardResponse{CallID: a.CallID, By: f.id, Status: status, Body: body}})
	}
	switch {
	case a.From.Address() != from || !f.mayForward(a.From):
		f.discard(requestUnknownSender)
	case a.To != f.id || a.Term != f.consensus.Term():
		f.discard(requestMisdirected)
		reject(answer, errcode.NoLeader, nil) // its caller goes on to another at once
	case !f.firstRequest(requester{a.From, a.Incarnation}, a.Serial):
		f.discard(requestRepeated)
	default:
		f.handle(apiCall{a.Method, a.Path, a.BaseVersion, a.Body}, false, answer)
	}
}

// mayForward says whether a process may pass calls on: a member, one that learns, or one at an address of the settings.
func (f *Server) mayForward(id consensus.ID) bool {
	return slices.Contains(f.consensus.Members(), id) || slices.Contains(f.consensus.Status(f.clock.Now()).Learners, id) ||
		slices.Contains(f.settings.SeedHosts(), id.Address())
}

// firstRequest says that a call was not carried out before.
func (p *forwarder) firstRequest(who requester, serial uint64) bool {
	w := p.served[who]
	if w == nil {
		if p.servedOrder = append(p.servedOrder, who); len(p.servedOrder) > maxRequesters {
			delete(p.served, p.servedOrder[0])
			p.servedOrder = slices.Delete(p.servedOrder, 0, 1)
		}
		w = &serialWindow{}
		p.served[who] = w
	}
	return w.accept(serial)
}

// serialWindow remembers which serials of one asker came: the greatest, and of those shortly before it which did.
type serialWindow struct{ newest, seen uint64 }

// accept says that a serial comes for the first time; one too far back counts as seen.
func (w *serialWindow) accept(serial uint64) bool {
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
