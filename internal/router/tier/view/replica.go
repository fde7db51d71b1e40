package view

import (
	"errors"
	"fmt"
)

// Errors of Replica.Apply. After any of them the replica is incomplete until it
// applies a full change, which the caller must request.
var (
	ErrGap            = errors.New("a preceding change is missing")
	ErrRestarted      = errors.New("the planner has restarted")
	ErrDigestMismatch = errors.New("digest mismatch after the change")
)

// Replica is a copy of one planner's view, kept up to date by its changes. The zero
// value is incomplete.
type Replica struct {
	View
	incarnation uint64
	sequence    uint64
	complete    bool
}

// Complete reports whether the replica equals the planner's view at Sequence.
func (r *Replica) Complete() bool { return r.complete }

// Sequence returns the sequence number of the last applied change.
func (r *Replica) Sequence() uint64 { return r.sequence }

// Apply applies a change and reports whether it did; a repeated or older change is
// ignored. The error wraps ErrGap, ErrRestarted or ErrDigestMismatch.
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

// checkOrder reports whether a change is the next one to apply. It returns an error if a
// preceding change is missing or the planner has restarted.
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
		return false, fmt.Errorf("%w: sequence number %d after %d", ErrGap, change.Sequence, r.sequence)
	}
	return true, nil
}

// applyContent applies the content of a change without a check of its sequence number.
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

// ChangedPart returns a view, to be merged, with the hosts of the change that was
// applied last. Hosts that the change removed are left out, since a merge does not
// remove hosts.
func (r *Replica) ChangedPart(change Change) *View {
	part := &View{Floor: r.Floor, ListVersion: r.ListVersion, hosts: make(map[string]*Host, len(change.Hosts))}
	for i := range change.Hosts {
		part.hosts[change.Hosts[i].Name] = &change.Hosts[i]
	}
	return part
}
