package tiernet

import (
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// settle forgets a command for which nothing more will come.
func (f *forward) settle(handle *policy.Cmd) {
	if c := f.open[handle.Name]; c != nil && c.final && handle.Over() {
		f.trace.Settled(handle)
		delete(f.open, handle.Name)
	}
}

// end is a command's final answer.
func (f *forward) end(handle *policy.Cmd, count *int) {
	w, c := f.w, f.open[handle.Name]
	if c == nil || c.final {
		w.Violate("%s: %s has a second final answer", f.name, handle.Name)
		return
	}
	if w.Now > c.until+4*ms {
		w.Violate("%s: %s is answered after its client timeout", f.name, handle.Name)
	}
	c.final = true
	*count++
}

// Throttle, Fail, Dispatch and the rest are what the module asks for.
func (f *forward) Throttle(c *policy.Cmd, back policy.Tenth) {
	f.trace.Throttle(c, back)
	f.end(c, &f.w.Throttled)
	f.settle(c)
}

func (f *forward) Fail(c *policy.Cmd) {
	f.trace.Fail(c)
	f.end(c, &f.w.Failed)
	f.settle(c)
}

func (f *forward) Probe(n *policy.Node) { f.w.Violate("%s probes %s", f.name, f.names[n]) }
func (f *forward) Close(n *policy.Node) { f.trace.Close(n) }
func (f *forward) Tell(string)          { f.w.Violate("%s tells others", f.name) }
func (f *forward) Watch()               { f.w.Violate("%s asks for a list", f.name) }
func (f *forward) Forget(n *policy.Node) {
	f.trace.Forget(n)
	delete(f.nodes, f.names[n])
	delete(f.names, n)
}

func (f *forward) Wake(after policy.Tenth) {
	life := f.life
	f.trace.Wake(after)
	f.w.After(max(ms, after), func() {
		if f.up && f.life == life {
			f.moment()
			f.trace.Woke()
			f.rules.Woke()
		}
	})
}

func (f *forward) Dispatch(handle *policy.Cmd, n *policy.Node, timeout policy.Tenth) {
	w, c, h := f.w, f.open[handle.Name], f.w.host(f.names[n])
	if c == nil || c.final {
		w.Violate("%s: %s is sent after its final answer", f.name, handle.Name)
		return
	}
	if c.out != 0 {
		w.Violate("%s: %s is out twice", f.name, handle.Name)
	}
	if at := f.drains[h.name]; at != 0 && w.Now > at+second {
		w.Violate("%s: %s goes to %s, drained or gone %d ms ago", f.name, handle.Name, h.name, (w.Now-at)/10)
	}
	f.trace.Dispatch(handle, n, timeout)
	w.Serial++
	c.out = w.Serial
	serial, life, sent := c.out, f.life, w.Now
	if n.Cold() != 0 {
		f.hear(h.name).Cold += int64(handle.Work() * 1000)
		f.hear(h.name).Boot = n.Cold()
	}
	ended := func(o policy.Outcome, pos policy.Tenth, role policy.Role) {
		if f.up && f.life == life && c.out == serial {
			f.ended(c, h, o, pos, role, sent)
		}
	}
	until := c.until
	if timeout > 0 {
		until = min(until, w.Now+timeout)
	}
	w.After(until-w.Now, func() { ended(policy.TimedOut, -1, policy.Unknown) })
	bound := policy.Tenth(0)
	if c.group.Need == policy.Bounded {
		bound = w.Now - c.group.Bound - 50*ms
	}
	excused := h.was && !f.demoted[h.name] // by the rule, until an answer tells this router that it is no primary
	w.After(w.Between(ms/2, 3*ms), func() { h.arrive(f, handle, c, bound, excused, ended) })
}

// arrive runs a dispatch at a host.
func (h *host) arrive(f *forward, handle *policy.Cmd, c *command, bound policy.Tenth, excused bool,
	ended func(policy.Outcome, policy.Tenth, policy.Role)) {
	w := h.w
	if !h.up {
		w.After(w.Between(ms/2, 3*ms), func() { ended(policy.Unreached, -1, policy.Unknown) })
		return
	}
	h.cold(f)
	if h.hung {
		h.stuck = append(h.stuck, func() { h.run(f, handle, c, bound, excused, ended) })
		return
	}
	boot := h.boot
	w.After(w.Between(2*ms, 10*ms), func() {
		if !h.up || h.boot != boot {
			ended(policy.Reset, -1, policy.Unknown)
			return
		}
		h.run(f, handle, c, bound, excused, ended)
	})
}

func (h *host) run(f *forward, handle *policy.Cmd, c *command, bound policy.Tenth, excused bool,
	ended func(policy.Outcome, policy.Tenth, policy.Role)) {
	w := h.w
	pos, role, back := h.pos(), h.role(), w.Between(ms/2, 3*ms)
	if c.group.Need == policy.Write {
		if role != policy.Primary {
			w.After(back, func() { ended(policy.Missed, pos, role) })
			return
		}
		if w.ran[handle.Name]++; w.ran[handle.Name] > 1 {
			w.Violate("%s ran %d times", handle.Name, w.ran[handle.Name])
		}
		set, elected := h.set, h.set.elected
		w.After(back, func() {
			if f.up && !c.final {
				w.sessions[c.session] = max(w.sessions[c.session], pos)
				if elected != 0 && set.elected == elected && set.follows != nil && !set.follows[f] {
					set.follows[f] = true
					w.Followed = append(w.Followed, w.Now-elected)
				}
			}
			ended(policy.Answered, pos+9, role) // rounded up
		})
		return
	}
	need := max(c.need, bound)
	if pos < need && !excused && role != policy.Primary {
		w.Violate("%s: %s reads at %s %d ms too old", f.name, handle.Name, h.name, (need-pos)/10)
	}
	w.After(back, func() { ended(policy.Answered, pos/10*10, role) })
}

// ended brings an outcome to the module, as the routing owner does.
func (f *forward) ended(c *command, h *host, o policy.Outcome, pos policy.Tenth, role policy.Role, sent policy.Tenth) {
	w := f.w
	c.out = 0
	f.moment()
	took := w.Now - sent
	if o == policy.Answered && !c.final {
		f.end(c.handle, &w.Answered)
	}
	heard := f.hear(h.name)
	if pos >= 0 {
		heard.Said(pos, role, sent >= f.lates[h.name])
		f.lates[h.name] = w.Now
		f.demoted[h.name] = role == policy.Replica
	}
	if o == policy.Answered {
		heard.Count++
		heard.Sum += uint32(min(10, c.handle.Spent(took)) * 1000)
	}
	f.trace.Ended(c.handle, o, pos, role, took, c.final)
	c.handle.Ended(o, pos, role, took, c.final)
	f.settle(c.handle)
}

func (f *forward) hear(name string) *link.Heard {
	if f.heard[name] == nil {
		f.heard[name] = &link.Heard{Evidence: view.Evidence{Name: name}}
	}
	return f.heard[name]
}
