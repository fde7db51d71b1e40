package virtual

import "ferrypitch/rules"

// fault causes one trouble, drawn by chance, and has it end.
func (w *World) fault() {
	h := w.hosts[w.chance.IntN(len(w.hosts))]
	switch w.chance.IntN(12) {
	case 0, 1:
		w.dies(h, w.between(300*ms, 4*second))
	case 2:
		w.hangs(h, w.between(200*ms, 3*second))
	case 3:
		w.drains(h)
	case 4, 5:
		p := w.planners[w.chance.IntN(len(w.planners))]
		p.kill()
		w.in(w.between(100*ms, 5*second), func() { p.again(false) })
	case 6:
		w.noPlanners(w.between(second, 6*second))
	case 7:
		w.cuts(w.forwarders[w.chance.IntN(len(w.forwarders))], w.planners[w.chance.IntN(len(w.planners))])
	case 8:
		f := w.forwarders[w.chance.IntN(len(w.forwarders))]
		if f.up {
			f.kill()
			w.in(w.between(50*ms, second), f.start)
		}
	case 9:
		p := w.planners[w.chance.IntN(len(w.planners))]
		w.note("planner %d comes back with an old list", p.i)
		p.kill()
		w.in(w.between(100*ms, second), func() { p.again(true) })
	case 10:
		p := w.planners[w.chance.IntN(len(w.planners))]
		p.skew = w.between(-second, second)
		w.note("planner %d has a clock %d ms ahead", p.i, p.skew/10)
	case 11:
		w.steps(h)
	}
}

func (w *World) dies(h *host, back rules.Tenth) {
	h.kill()
	w.in(back, h.back)
}

// hangs has a host answer nothing; a primary is succeeded. What it took runs when it goes on, as a replica.
func (w *World) hangs(h *host, span rules.Tenth) {
	if !h.up || h.hung {
		return
	}
	w.note("%s hangs", h.name)
	h.hung = true
	s, boot := h.set, h.boot
	if s.primary == h {
		s.primary, s.end, h.had = nil, w.now, w.now
		w.in(w.between(200*ms, 1500*ms), s.elect)
	}
	w.in(span, func() {
		if h.hung && h.up && h.boot == boot {
			h.hung = false
			stuck := h.stuck
			h.stuck = nil
			for _, run := range stuck {
				run()
			}
			if s.primary == nil {
				w.in(ms, s.elect)
			}
		}
	})
}

func (w *World) drains(h *host) {
	w.note("%s drains", h.name)
	w.state(h, rules.Draining)
	w.in(w.between(2*second, 4*second), func() { w.state(h, rules.In) })
}

// steps is a planned change of a primary: it steps down where its log stands.
func (w *World) steps(h *host) {
	if s := h.set; s.primary == h && h.up && !h.hung {
		w.note("%s steps down", h.name)
		s.primary, s.end, h.had = nil, w.now, w.now
		w.in(w.between(50*ms, 400*ms), s.elect)
	}
}

func (w *World) noPlanners(span rules.Tenth) {
	for _, p := range w.planners {
		p.kill()
		w.in(span, func() { p.again(p.old) })
	}
}

func (p *plan) again(old bool) {
	if !p.up {
		p.w.note("planner %d starts", p.i)
		p.old = old
		p.start()
	}
}

// cuts has nothing more pass between two, without a sign.
func (w *World) cuts(f *forward, p *plan) {
	w.note("%s is cut from planner %d", f.name, p.i)
	f.cut[p.i] = true
	w.in(w.between(second, 8*second), func() { f.cut[p.i] = false })
}
