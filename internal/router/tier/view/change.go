package view

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"ferrypitch/policy"
)

// Change is what came to a view between two numbers of a planner's life; a
// whole view is a change from nothing.
type Change struct {
	Life    uint64   `cbor:"1,keyasint"` // of the planner, new with each start
	Seq     uint64   `cbor:"2,keyasint"`
	Whole   bool     `cbor:"3,keyasint,omitempty"`
	Floor   Version  `cbor:"4,keyasint"`
	Listed  Version  `cbor:"5,keyasint"`
	Routers int      `cbor:"6,keyasint,omitempty"`
	Every   int64    `cbor:"7,keyasint,omitempty"` // how often forwarders are to report, in tenths
	Hosts   []Host   `cbor:"8,keyasint,omitempty"`
	Dropped []string `cbor:"9,keyasint,omitempty"`
	Digest  uint64   `cbor:"10,keyasint"` // of the view after it
}

// Whole is all that is held, as of a number.
func (v *View) Whole(life, seq uint64) Change {
	return Change{Life: life, Seq: seq, Whole: true, Floor: v.Floor, Listed: v.Listed, Routers: v.Routers,
		Hosts: v.Hosts(), Digest: v.Digest()}
}

// TakeChanges is what came since the last call, in the order of names.
func (v *View) TakeChanges(life, seq uint64) Change {
	c := Change{Life: life, Seq: seq, Floor: v.Floor, Listed: v.Listed, Routers: v.Routers, Digest: v.Digest()}
	for name := range v.touched {
		if h := v.hosts[name]; h != nil {
			c.Hosts = append(c.Hosts, *h)
		} else {
			c.Dropped = append(c.Dropped, name)
		}
	}
	clear(v.touched)
	slices.SortFunc(c.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(c.Dropped)
	return c
}

// TakeChangedNames are of the hosts touched since the last Changes or Names.
func (v *View) TakeChangedNames() []string {
	names := make([]string, 0, len(v.touched))
	for name := range v.touched {
		names = append(names, name)
	}
	clear(v.touched)
	slices.Sort(names)
	return names
}

// Why a copy can't go on, and a whole view is to be asked for.
var (
	ErrGap            = errors.New("a change before this one is missing")
	ErrRestarted      = errors.New("the planner has started anew")
	ErrDigestMismatch = errors.New("the view's digest differs")
)

// Replica follows one planner's view by its changes.
type Replica struct {
	View
	incarnation, sequence uint64
	complete              bool
}

// Complete says whether the copy holds a view.
func (c *Replica) Complete() bool { return c.complete }

// Sequence is the number that it stands at.
func (c *Replica) Sequence() uint64 { return c.sequence }

// Apply takes a change in. A doubled or older one is passed over; an error
// says that a whole view is needed, and the copy holds none until it comes.
func (c *Replica) Apply(ch Change) (fresh bool, err error) {
	switch {
	case ch.Whole && c.complete && ch.Life == c.incarnation && ch.Seq < c.sequence:
		return false, nil
	case ch.Whole:
		c.View = View{}
	case !c.complete:
		return false, ErrGap
	case ch.Life != c.incarnation:
		c.complete = false
		return false, ErrRestarted
	case ch.Seq <= c.sequence:
		return false, nil
	case ch.Seq != c.sequence+1:
		c.complete = false
		return false, fmt.Errorf("%w: %d after %d", ErrGap, ch.Seq, c.sequence)
	}
	c.incarnation, c.sequence, c.complete = ch.Life, ch.Seq, true
	c.Floor, c.Listed, c.Routers = ch.Floor, ch.Listed, ch.Routers
	for _, h := range ch.Hosts {
		c.updateHost(h.Name, func(mine *Host) bool { was := *mine; *mine = h; return was != h })
	}
	for _, name := range ch.Dropped {
		if c.hosts[name] != nil {
			c.removeHost(name)
		}
	}
	if c.Digest() != ch.Digest {
		c.complete = false
		return false, ErrDigestMismatch
	}
	return true, nil
}

// Validate says why a host that came over a link can't be one, or nothing.
func (h *Host) Validate() string {
	switch {
	case h.Name == "" || len(h.Name) > 256:
		return "a name of no or too many bytes"
	case len(h.Address) > 256 || len(h.Zone) > 64 || len(h.Kind) > 64:
		return "a text of too many bytes"
	case h.Standing > policy.Gone || h.Role > policy.Replica:
		return "a standing or a role that is not known"
	case !(h.Size >= 0 && h.Size <= 1e9):
		return "a size that can't be"
	}
	return ""
}

// TouchedPart is what of a copy a change that it followed has touched, as a view to join.
func (c *Replica) TouchedPart(ch Change) *View {
	part := &View{Floor: c.Floor, Listed: c.Listed, hosts: make(map[string]*Host, len(ch.Hosts))}
	for i := range ch.Hosts {
		part.hosts[ch.Hosts[i].Name] = &ch.Hosts[i]
	}
	return part
}
