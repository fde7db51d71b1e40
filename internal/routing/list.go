package routing

import (
	"go.uber.org/zap"

	"ferrypitch/internal/setup"
	"ferrypitch/internal/transport"
	"ferrypitch/rules"
)

// host is a database host as the list has it.
type host struct {
	node       *rules.Node
	conns      *transport.Host
	set        int64
	standing   rules.Standing
	primary    bool
	zone, kind string
	size       float64
	boot       rules.Tenth
}

// list takes in a list, whole or the changes since the last. One that has a fault changes nothing.
// anew: versions are counted otherwise than before.
func (r *Router) list(o setup.Object, anew bool) (err error) {
	defer setup.Catch(&err)
	rev, whole, targets := o.Integer("rev"), o.Flag("all"), o.Objects("targets")
	if rev < r.rev.Load() && !anew {
		r.Stale.Add(1)
		r.log.Warn("a list that is older than the one held", zap.Int64("rev", rev), zap.Int64("held", r.rev.Load()))
		return nil
	}
	read := make([]host, len(targets))
	for i, e := range targets {
		e.Text("uid")
		e.Text("endpoint")
		read[i] = host{set: e.Integer("pod_group"), standing: rules.Draining, // nothing new in a state not known
			primary: e.MaybeText("role") == "leader", zone: e.MaybeText("az"), kind: e.MaybeText("model"),
			size: e.MaybeNumber("capacity_hint"), boot: setup.Up(e.MaybeNumber("boot_ms"))}
		switch e.Text("state") {
		case "up":
			read[i].standing = rules.In
		case "removed":
			read[i].standing = rules.Gone
		}
	}
	r.moment()
	for i, e := range targets {
		uid, endpoint := e.Text("uid"), e.Text("endpoint")
		h := r.hosts[uid]
		if h == nil && read[i].standing == rules.Gone {
			continue
		}
		if h == nil {
			r.Held.Add(1)
			h = &host{set: read[i].set, conns: r.pool.Add(endpoint), node: r.rules.Host(uid, read[i].set)}
			r.hosts[uid], r.nodes[h.node], r.sets[h.set] = h, h, true
		}
		read[i].node, read[i].conns, read[i].set = h.node, h.conns, h.set
		*h = read[i]
		h.conns.Move(endpoint)
		h.tell()
	}
	r.rules.ListDone(whole)
	r.rev.Store(rev)
	r.Lists.Add(1)
	r.log.Info("list", zap.Int64("rev", rev), zap.Bool("whole", whole), zap.Int("entries", len(targets)))
	r.listed = true
	for _, s := range r.asking {
		s.Empty()
	}
	r.asking = nil
	return nil
}

// tell tells the module of a host, as the list has it.
func (h *host) tell() {
	h.node.Listed(h.standing, h.primary, h.zone, h.kind, h.size, h.boot)
}
