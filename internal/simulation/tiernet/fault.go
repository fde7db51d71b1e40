package tiernet

import "ferrypitch/policy"

// Kinds of faults, in the order of the draw. Those that stand twice come twice as often.
const (
	faultCrashHost = iota
	faultCrashHostAgain
	faultHangHost
	faultDrainHost
	faultKillPlanner
	faultKillPlannerAgain
	faultKillAllPlanners
	faultCutLink
	faultKillForwarder
	faultStalePlanner
	faultSkewClock
	faultStepDown
	faultKinds
)

// injectFault causes a random fault, which ends by itself after a random time.
func (w *World) injectFault() {
	h := w.hosts[w.Rand.IntN(len(w.hosts))]
	switch w.Rand.IntN(faultKinds) {
	case faultCrashHost, faultCrashHostAgain:
		w.crashHost(h, w.Between(300*millisecond, 4*second))
	case faultHangHost:
		w.hangHost(h, w.Between(200*millisecond, 3*second))
	case faultDrainHost:
		w.drainHost(h)
	case faultKillPlanner, faultKillPlannerAgain:
		w.killPlanner(w.randomPlanner())
	case faultKillAllPlanners:
		w.killAllPlanners(w.Between(second, 6*second))
	case faultCutLink:
		forwarder := w.randomForwarder()
		w.cutLink(forwarder, w.randomPlanner())
	case faultKillForwarder:
		w.killForwarder(w.randomForwarder())
	case faultStalePlanner:
		p := w.randomPlanner()
		w.LogFault("planner %d comes back with an old list", p.index)
		p.kill()
		w.After(w.Between(100*millisecond, second), func() { p.restart(true) })
	case faultSkewClock:
		p := w.randomPlanner()
		p.clockSkew = w.Between(-second, second)
		w.LogFault("planner %d has a clock %d ms ahead", p.index, inMs(p.clockSkew))
	case faultStepDown:
		w.stepDown(h)
	}
}

func (w *World) randomPlanner() *plannerProcess {
	return w.planners[w.Rand.IntN(len(w.planners))]
}

func (w *World) randomForwarder() *forwarderProcess {
	return w.forwarders[w.Rand.IntN(len(w.forwarders))]
}

// crashHost has a host down for a span.
func (w *World) crashHost(h *host, span policy.TenthMs) {
	h.kill()
	w.After(span, h.restart)
}

// hangHost has a host answer nothing for a span, in which another one is elected if it was the primary. The commands that it
// took run when it goes on, as a replica.
func (w *World) hangHost(h *host, span policy.TenthMs) {
	if !h.up || h.hanging {
		return
	}
	w.LogFault("%s hangs", h.name)
	h.hanging = true
	if h.set.primary == h {
		h.set.losePrimary()
		h.set.electLater()
	}
	startedAt := h.startedAt
	w.After(span, func() {
		if h.hanging && h.up && h.startedAt == startedAt {
			h.resume()
		}
	})
}

// resume runs the commands that arrived while a host hung.
func (h *host) resume() {
	queued := h.queued
	h.hanging, h.queued = false, nil
	for _, run := range queued {
		run()
	}
	if h.set.primary == nil {
		h.w.After(millisecond, h.set.elect)
	}
}

// drainHost has a host drain for some seconds.
func (w *World) drainHost(h *host) {
	w.LogFault("%s drains", h.name)
	w.setStanding(h, policy.Draining)
	w.After(w.Between(2*second, 4*second), func() { w.setStanding(h, policy.Active) })
}

// stepDown is a planned change of the primary: it steps down where its log stands, and an election follows soon.
func (w *World) stepDown(h *host) {
	if h.set.primary == h && h.up && !h.hanging {
		w.LogFault("%s steps down", h.name)
		h.set.losePrimary()
		w.After(w.Between(50*millisecond, 400*millisecond), h.set.elect)
	}
}

// killPlanner has a planner start again after some time.
func (w *World) killPlanner(p *plannerProcess) {
	p.kill()
	w.After(w.Between(100*millisecond, 5*second), func() { p.restart(false) })
}

// killAllPlanners has all planners down for a span.
func (w *World) killAllPlanners(span policy.TenthMs) {
	for _, p := range w.planners {
		p.kill()
		w.After(span, func() { p.restart(p.staleList) })
	}
}

// killForwarder has a forwarder that runs start again soon.
func (w *World) killForwarder(f *forwarderProcess) {
	if f.up {
		f.kill()
		w.After(w.Between(50*millisecond, second), f.start)
	}
}

// cutLink has nothing pass between a forwarder and a planner for some seconds, without either seeing the link end.
func (w *World) cutLink(f *forwarderProcess, p *plannerProcess) {
	w.LogFault("%s is cut from planner %d", f.name, p.index)
	f.cutFrom[p.index] = true
	w.After(w.Between(second, 8*second), func() { f.cutFrom[p.index] = false })
}
