package tiernet

import "ferrypitch/policy"

// fault causes one trouble, drawn by chance, and has it end.
func (w *World) fault() {
	h := w.hosts[w.Rand.IntN(len(w.hosts))]
	switch w.Rand.IntN(12) {
	case 0, 1:
		w.dies(h, w.Between(300*ms, 4*second))
	case 2:
		w.hangs(h, w.Between(200*ms, 3*second))
	case 3:
		w.drains(h)
	case 4, 5:
		p := w.planners[w.Rand.IntN(len(w.planners))]
		p.kill()
		w.After(w.Between(100*ms, 5*second), func() { p.again(false) })
	case 6:
		w.noPlanners(w.Between(second, 6*second))
	case 7:
		w.cuts(w.forwarders[w.Rand.IntN(len(w.forwarders))], w.planners[w.Rand.IntN(len(w.planners))])
	case 8:
		f := w.forwarders[w.Rand.IntN(len(w.forwarders))]
		if f.up {
			f.kill()
			w.After(w.Between(50*ms, second), f.start)
		}
	case 9:
		p := w.planners[w.Rand.IntN(len(w.planners))]
		w.Note("planner %d comes back with an old list", p.i)
		p.kill()
		w.After(w.Between(100*ms, second), func() { p.again(true) })
	case 10:
		p := w.planners[w.Rand.IntN(len(w.planners))]
		p.skew = w.Between(-second, second)
		w.Note("planner %d has a clock %d ms ahead", p.i, p.skew/10)
	case 11:
		w.steps(h)
	}
}

func (w *World) dies(h *host, back policy.Tenth) {
	h.kill()
	w.After(back, h.back)
}

// hangs has a host answer nothing; a primary is succeeded. What it took runs when it goes on, as a replica.
func (w *World) hangs(h *host, span policy.Tenth) {
	if !h.up || h.hung {
		return
	}
	w.Note("%s hangs", h.name)
	h.hung = true
	s, boot := h.set, h.boot
	if s.primary == h {
		s.primary, s.end, h.had = nil, w.Now, w.Now
		w.After(w.Between(200*ms, 1500*ms), s.elect)
	}
	w.After(span, func() {
		if h.hung && h.up && h.boot == boot {
			h.hung = false
			stuck := h.stuck
			h.stuck = nil
			for _, run := range stuck {
				run()
			}
			if s.primary == nil {
				w.After(ms, s.elect)
			}
		}
	})
}

func (w *World) drains(h *host) {
	w.Note("%s drains", h.name)
	w.state(h, policy.Draining)
	w.After(w.Between(2*second, 4*second), func() { w.state(h, policy.In) })
}

// steps is a planned change of a primary: it steps down where its log stands.
func (w *World) steps(h *host) {
	if s := h.set; s.primary == h && h.up && !h.hung {
		w.Note("%s steps down", h.name)
		s.primary, s.end, h.had = nil, w.Now, w.Now
		w.After(w.Between(50*ms, 400*ms), s.elect)
	}
}

func (w *World) noPlanners(span policy.Tenth) {
	for _, p := range w.planners {
		p.kill()
		w.After(span, func() { p.again(p.old) })
	}
}

func (p *plan) again(old bool) {
	if !p.up {
		p.w.Note("planner %d starts", p.i)
		p.old = old
		p.start()
	}
}

// cuts has nothing more pass between two, without a sign.
func (w *World) cuts(f *forward, p *plan) {
	w.Note("%s is cut from planner %d", f.name, p.i)
	f.cut[p.i] = true
	w.After(w.Between(second, 8*second), func() { f.cut[p.i] = false })
}
