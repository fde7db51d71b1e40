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
	if change.Full {
		r.View = View{}
	}
	r.incarnation, r.sequence, r.complete = change.Incarnation, change.Sequence, true
	r.applyContent(change)
	if r.Digest() != change.Digest {
		r.complete = false
		return false, ErrDigestMismatch
	}
	return true, nil
}

// checkOrder reports whether a change is the one to apply next, or an error if one before it is missing.
func (r *Replica) checkOrder(change Change) (isNext bool, err error) {
	sameIncarnation := change.Incarnation == r.incarnation
	switch {
	case change.Full:
		isOlder := r.complete && sameIncarnation && change.Sequence < r.sequence
		return !isOlder, nil
	case !r.complete:
		return false, ErrGap
	case !sameIncarnation:
		return false, ErrRestarted
	case change.Sequence <= r.sequence:
		return false, nil
	case change.Sequence != r.sequence+1:
		return false, fmt.Errorf("%w: %d after %d", ErrGap, change.Sequence, r.sequence)
	}
	return true, nil
}

// applyContent takes over what a change says, without regard to its order.
func (r *Replica) applyContent(change Change) {
	r.Floor, r.ListVersion, r.RouterCount = change.Floor, change.ListVersion, change.RouterCount
	for _, host := range change.Hosts {
		r.updateHost(host.Name, func(own *Host) bool {
			changed := *own != host
			*own = host
			return changed
		})
	}
	for _, name := range change.Removed {
		if r.hosts[name] != nil {
			r.removeHost(name)
		}
	}
}

// TouchedPart returns, as a view to merge, the hosts of a change that was applied
// last. Hosts that it removed are left out: merging removes nothing.
func (r *Replica) TouchedPart(change Change) *View {
	part := &View{Floor: r.Floor, ListVersion: r.ListVersion, hosts: make(map[string]*Host, len(change.Hosts))}
	for i := range change.Hosts {
		part.hosts[change.Hosts[i].Name] = &change.Hosts[i]
	}
	return part
}
