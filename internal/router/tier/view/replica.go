package view

import (
	"errors"
	"fmt"
)

// Why a replica cannot apply a change. After each it is incomplete until a full
// change comes, which the caller must request.
var (
	ErrGap            = errors.New("a change before this one is missing")
	ErrRestarted      = errors.New("the planner has started anew")
	ErrDigestMismatch = errors.New("the view's digest differs")
)

// Replica follows the view of one planner by its changes. The zero value is incomplete.
type Replica struct {
	View
	incarnation uint64
	sequence    uint64
	complete    bool
}

// Complete reports whether the replica equals the planner's view as of Sequence.
func (r *Replica) Complete() bool { return r.complete }

// Sequence returns the number of the last change applied.
func (r *Replica) Sequence() uint64 { return r.sequence }

// Apply applies a change and reports whether it was new; a repeated or older one
// is ignored. The error is one of ErrGap, ErrRestarted and ErrDigestMismatch.
func (r *Replica) Apply(change Change) (applied bool, err error) {
	isNext, err := r.checkOrder(change)
	if err != nil {
		r.complete = false
		return false, err
	}
	if !isNext {
		return false, nil
	}
	if change.Whole {
		r.View = View{}
	}
	r.incarnation, r.sequence, r.complete = change.Life, change.Seq, true
	r.applyContent(change)
	if r.Digest() != change.Digest {
		r.complete = false
		return false, ErrDigestMismatch
	}
	return true, nil
}

// checkOrder reports whether a change is the one to apply next, or an error if one before it is missing.
func (r *Replica) checkOrder(change Change) (isNext bool, err error) {
	sameIncarnation := change.Life == r.incarnation
	switch {
	case change.Whole:
		isOlder := r.complete && sameIncarnation && change.Seq < r.sequence
		return !isOlder, nil
	case !r.complete:
		return false, ErrGap
	case !sameIncarnation:
		return false, ErrRestarted
	case change.Seq <= r.sequence:
		return false, nil
	case change.Seq != r.sequence+1:
		return false, fmt.Errorf("%w: %d after %d", ErrGap, change.Seq, r.sequence)
	}
	return true, nil
}

// applyContent takes over what a change says, without regard to its order.
func (r *Replica) applyContent(change Change) {
	r.Floor, r.Listed, r.Routers = change.Floor, change.Listed, change.Routers
	for _, host := range change.Hosts {
		r.updateHost(host.Name, func(own *Host) bool {
			changed := *own != host
			*own = host
			return changed
		})
	}
	for _, name := range change.Dropped {
		if r.hosts[name] != nil {
			r.removeHost(name)
		}
	}
}

// TouchedPart returns, as a view to merge, the hosts of a change that was applied
// last. Hosts that it removed are left out: merging removes nothing.
func (r *Replica) TouchedPart(change Change) *View {
	part := &View{Floor: r.Floor, Listed: r.Listed, hosts: make(map[string]*Host, len(change.Hosts))}
	for i := range change.Hosts {
		part.hosts[change.Hosts[i].Name] = &change.Hosts[i]
	}
	return part
}
