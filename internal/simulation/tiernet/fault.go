package tiernet

import "ferrypitch/policy"

// Kinds of faults, in the order of the random numbers that select them. A kind with two constants is twice as frequent.
const (
	faultCrashHost = iota
	faultCrashHostAgain
	faultHangHost
	faultDrainHost
	faultKillPlanner
	faultKillPlannerAgain
	faultKillAllPlanners
	faultPartitionLink
	faultKillForwarder
	faultStalePlanner
	faultSkewClock
	faultStepDown
	faultKindCount
)

// injectFault injects a random fault. Faults with a duration end by themselves after a random time.
func (w *World) injectFault() {
	h := w.hosts[w.Rand.IntN(len(w.hosts))]
	switch w.Rand.IntN(faultKindCount) {
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
	case faultPartitionLink:
		forwarder := w.randomForwarder()
		w.partitionLink(forwarder, w.randomPlanner())
	case faultKillForwarder:
		w.killForwarder(w.randomForwarder())
	case faultStalePlanner:
		p := w.randomPlanner()
		w.LogFault("planner %d restarts with an old list", p.index)
		p.kill()
		w.After(w.Between(100*millisecond, second), func() { p.restart(true) })
	case faultSkewClock:
		p := w.randomPlanner()
		p.clockSkew = w.Between(-second, second)
		w.LogFault("the clock of planner %d is %d ms ahead", p.index, inMs(p.clockSkew))
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

// crashHost crashes a host and restarts it after a span.
func (w *World) crashHost(h *host, span policy.TenthMs) {
	h.kill()
	w.After(span, h.restart)
}

// hangHost makes a host stop answering for a span. If it was the primary, another host is elected. The commands that it
// received meanwhile run when it resumes, as a replica.
func (w *World) hangHost(h *host, span policy.TenthMs) {
	if !h.up || h.hung {
		return
	}
	w.LogFault("%s hangs", h.name)
	h.hung = true
	if h.set.primary == h {
		h.set.losePrimary()
		h.set.scheduleElection()
	}
	startedAt := h.startedAt
	w.After(span, func() {
		if h.hung && h.up && h.startedAt == startedAt {
			h.resume()
		}
	})
}

// resume ends a hang and runs the commands that arrived during it.
func (h *host) resume() {
	queued := h.queued
	h.hung, h.queued = false, nil
	for _, run := range queued {
		run()
	}
	if h.set.primary == nil {
		h.w.After(millisecond, h.set.elect)
	}
}

// drainHost has discovery list a host as draining for some seconds.
func (w *World) drainHost(h *host) {
	w.LogFault("%s drains", h.name)
	w.setListState(h, policy.Draining)
	w.After(w.Between(2*second, 4*second), func() { w.setListState(h, policy.Active) })
}

// stepDown starts a planned switchover: the primary steps down at its current position, and an election follows soon.
func (w *World) stepDown(h *host) {
	if h.set.primary == h && h.up && !h.hung {
		w.LogFault("%s steps down", h.name)
		h.set.losePrimary()
		w.After(w.Between(50*millisecond, 400*millisecond), h.set.elect)
	}
}

// killPlanner kills a planner and restarts it after a random time.
func (w *World) killPlanner(p *plannerProcess) {
	p.kill()
	w.After(w.Between(100*millisecond, 5*second), func() { p.restart(false) })
}

// killAllPlanners kills all planners and restarts them after a span.
func (w *World) killAllPlanners(span policy.TenthMs) {
	for _, p := range w.planners {
		p.kill()
		w.After(span, func() { p.restart(p.staleList) })
	}
}

// killForwarder kills a running forwarder and restarts it after a short random time.
func (w *World) killForwarder(f *forwarderProcess) {
	if f.up {
		f.kill()
		w.After(w.Between(50*millisecond, second), f.start)
	}
}

// partitionLink drops everything between a forwarder and a planner for some seconds, without closing the link at either end.
func (w *World) partitionLink(f *forwarderProcess, p *plannerProcess) {
	w.LogFault("%s is partitioned from planner %d", f.name, p.index)
	f.partitionedFrom[p.index] = true
	w.After(w.Between(second, 8*second), func() { f.partitionedFrom[p.index] = false })
}
