package consensus

import (
	"cmp"
	"slices"
	"strings"
)

// ID names a member in one life of its disk: its address, and for a learner a mark behind "+".
type ID string

// Address is where a member is reached.
func (i ID) Address() string { at, _, _ := strings.Cut(string(i), "+"); return at }

type configuration struct {
	index   uint64
	members []ID
}

type progress struct {
	nextIndex, matchIndex uint64
	sentAtMs              int64 // when entries were sent that are not acknowledged; 0: none
	heartbeatAckedAtMs    int64 // the newest heartbeat that came back
	heardAtMs             int64
	learner               bool
	outgoing              *outgoingSnapshot // a snapshot on its way there
	snapshotWanted        bool              // it asked for one, whatever it holds
	persistedConfigIndex  uint64            // the newest change of members that it knows, on disk, to be delivered
	leaveRequestedAtMs    int64             // when it last said that it is to end; 0: it is not
	leavingSinceMs        int64             // and when first
}

// departure is how far a member that is to end has come.
type departure struct {
	begun, over, handed bool
	begunAt, askAt      int64
}

const maxLearners = 32

// Members are who counts, by the newest entry held.
func (n *Node) Members() []ID { return n.configurations[len(n.configurations)-1].members }

// activeConfigurations are the configurations that must each agree: the newest delivered one and all behind it.
func (n *Node) activeConfigurations() []configuration {
	i := 0
	for i+1 < len(n.configurations) && n.configurations[i+1].index <= max(n.commitIndex, n.hardState.CommittedConfigIndex) {
		i++
	}
	return n.configurations[i:]
}

func (n *Node) hasQuorum(has func(ID) bool) bool {
	for _, config := range n.activeConfigurations() {
		count := 0
		for _, m := range config.members {
			if has(m) {
				count++
			}
		}
		if 2*count <= len(config.members) {
			return false
		}
	}
	return true
}

func (n *Node) everyMember(has func(ID) bool) bool {
	count := 0
	for _, config := range n.activeConfigurations() {
		for _, m := range config.members {
			if count++; !has(m) {
				return false
			}
		}
	}
	return count > 0
}

func (n *Node) isMember(id ID) bool {
	for _, config := range n.activeConfigurations() {
		if slices.Contains(config.members, id) {
			return true
		}
	}
	return false
}

// syncPeers has a leader keep account of all that count.
func (n *Node) syncPeers() {
	if n.role != leader {
		return
	}
	for _, config := range n.activeConfigurations() {
		for _, m := range config.members {
			if n.peers[m] == nil {
				n.peers[m] = &progress{nextIndex: n.lastIndex() + 1, heardAtMs: n.nowMs}
			}
			n.peers[m].learner = false
		}
	}
	for id, p := range n.peers {
		if !n.isMember(id) && !p.learner && id != n.id {
			delete(n.peers, id)
		}
	}
}

func (n *Node) peerIDs() []ID {
	all := make([]ID, 0, len(n.peers))
	for id := range n.peers {
		if id != n.id {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// promoteLearner makes a learner that holds all that was delivered a member, in the place of one at its address, of one that is
// to end, or of one that is silent, or beside the others while they are fewer than must be there. More than that would only make majorities
// greater: a member that is gone for good would count in them. One change at a time.
func (n *Node) promoteLearner() {
	if len(n.activeConfigurations()) > 1 || !n.HoldsLease(n.nowMs) {
		return
	}
	members := n.Members()
	for _, id := range n.responsiveLearners() {
		if n.peers[id].matchIndex < n.commitIndex {
			continue
		}
		next := slices.DeleteFunc(slices.Clone(members), func(m ID) bool { return m != n.id && m.Address() == id.Address() })
		if len(next) == len(members) {
			i := slices.IndexFunc(next, n.isLeaving)
			if i < 0 {
				i = slices.IndexFunc(next, func(m ID) bool {
					return m != n.id && n.peers[m] != nil && n.nowMs > n.peers[m].heardAtMs+n.RemovalTimeoutMs
				})
			}
			switch {
			case i >= 0:
				next = slices.Delete(next, i, i+1)
			case len(members) >= n.MaxMembers:
				continue // it stands by
			}
		}
		next = append(next, id)
		slices.Sort(next)
		n.appendEntry(Entry{Term: n.hardState.Term, Members: next})
		return
	}
}

// stepJoin has a leader call a learner. Who joins knows its seeds only, and the leader need be none of them, nor be in
// reach of it: a follower passes on, once, what was sent to all.
func (n *Node) stepJoin(m Message) {
	if n.role == follower && n.leaderID != "" && m.To == "" {
		m.To = n.leaderID
		n.ready.Messages = append(n.ready.Messages, m)
		return
	}
	if n.role != leader || n.isMember(m.From) || n.transferring {
		return
	}
	if n.peers[m.From] == nil {
		learners := 0
		for id, p := range n.peers {
			switch {
			case !p.learner:
			case id.Address() == m.From.Address(): // an older life
				delete(n.peers, id)
			default:
				learners++
			}
		}
		if learners >= maxLearners {
			n.DiscardedMessages++
			return
		}
		n.peers[m.From] = &progress{nextIndex: min(m.Index, n.lastIndex()) + 1, heardAtMs: n.nowMs, learner: true}
	}
	p := n.peers[m.From]
	n.sendHeartbeat(m.From)
	n.replicate(m.From, p)
}

// responsiveLearners are the learners that are heard of, those that hold most first. One that is to end is forgotten when it says so.
func (n *Node) responsiveLearners() (all []ID) {
	for _, id := range n.peerIDs() {
		if p := n.peers[id]; p.learner && n.nowMs <= p.heardAtMs+n.LeaseMs {
			all = append(all, id)
		}
	}
	slices.SortStableFunc(all, func(a, b ID) int { return cmp.Compare(n.peers[b].matchIndex, n.peers[a].matchIndex) })
	return all
}

func (p *progress) markLeaving(nowMs int64) {
	if p.leaveRequestedAtMs == 0 {
		p.leavingSinceMs = nowMs
	}
	p.leaveRequestedAtMs = nowMs
}

// isLeaving says that a member is to end: it has said so, and was not heard of otherwise since.
func (n *Node) isLeaving(id ID) bool {
	p := n.peers[id]
	return p != nil && p.leaveRequestedAtMs > 0 && n.nowMs <= p.leaveRequestedAtMs+n.RemovalTimeoutMs
}

// Leave has this member ask for its seat to be handed on, until Left. It goes on counting, voting and answering until then.
func (n *Node) Leave(nowMs int64) Ready {
	n.advanceClock(nowMs)
	if d := &n.leave; !d.begun {
		d.begun, d.begunAt = true, n.nowMs
	}
	n.tickLeave()
	return n.takeReady()
}

// LeaveProgress says whether a member that leaves may end, and whether another has its seat. Where none stands by it keeps the
// seat: it may come back with all that it holds, and a configuration without it would need all the others.
func (n *Node) LeaveProgress() (over, handed bool) { return n.leave.over, n.leave.handed }

// tickLeave asks the one that leads, again and again: it may change. One that leads itself hands its seat on first, so that
// its view is left once, and by a member that goes on.
func (n *Node) tickLeave() {
	d := &n.leave
	if !d.begun || d.over || n.nowMs < d.askAt {
		return
	}
	d.askAt = n.nowMs + n.HeartbeatMs/2
	if p := n.peers[n.id]; p != nil {
		p.markLeaving(n.nowMs)
	}
	switch {
	case n.role != leader:
		if n.leaderID != "" {
			n.send(Message{Type: MsgLeave, To: n.leaderID, SentAtMs: n.nowMs})
		}
	case n.transferring:
	case n.isMember(n.id) && n.mustStay(n.id):
		n.promoteLearner()
	case n.isMember(n.id) || n.configurationDurable():
		d.over, d.handed = true, !n.isMember(n.id)
		n.startTransfer()
	}
}

// mustStay says that a member should not end yet: its seat may still be handed on (a learner is there, or has had no time
// to call, or a change is under way), or those that have been heard of since it said so are no majority without it.
func (n *Node) mustStay(id ID) bool {
	since := n.peers[id].leavingSinceMs
	return len(n.activeConfigurations()) > 1 || len(n.responsiveLearners()) > 0 || !n.HoldsLease(n.nowMs) || n.nowMs < n.leaderSinceMs+n.LeaseMs ||
		!n.hasQuorum(func(m ID) bool {
			p := n.peers[m]
			return m != id && (m == n.id || p != nil && p.heartbeatAckedAtMs > since && !n.isLeaving(m))
		})
}

// configurationDurable says that a majority of the members has on disk that the last change of members was delivered. Before that, a
// loss could leave none but such as would still ask those who are out.
func (n *Node) configurationDurable() bool {
	all := n.activeConfigurations()
	return len(all) == 1 && n.hasQuorum(func(id ID) bool {
		if id == n.id {
			return n.persistedConfigIndex >= all[0].index
		}
		p := n.peers[id]
		return p != nil && p.persistedConfigIndex >= all[0].index
	})
}

// stepLeave has a leader hand on the seat of a member that is to end, and tell it once it may.
func (n *Node) stepLeave(m Message) {
	if !n.HoldsLease(n.nowMs) {
		return
	}
	p := n.peers[m.From]
	switch {
	case !n.isMember(m.From):
		if p == nil {
			n.DiscardedMessages++
		}
		delete(n.peers, m.From)
		if n.configurationDurable() {
			n.send(n.withCommitPoint(Message{Type: MsgLeaveResponse, To: m.From, SentAtMs: m.SentAtMs, Granted: true}))
		}
	default: // where it ends, a learner that comes before it is back need not wait until it is silent for long
		if p.markLeaving(n.nowMs); n.mustStay(m.From) {
			n.promoteLearner()
			return
		}
		n.send(n.withCommitPoint(Message{Type: MsgLeaveResponse, To: m.From, SentAtMs: m.SentAtMs}))
	}
}

func (n *Node) stepLeaveResponse(m Message) {
	if d := &n.leave; d.begun && m.From == n.leaderID && m.Term == n.hardState.Term && m.SentAtMs >= d.begunAt && m.SentAtMs <= n.nowMs {
		d.over, d.handed = true, m.Granted
	}
}
