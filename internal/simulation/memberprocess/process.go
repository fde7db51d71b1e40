// Package memberprocess simulates the lifecycle of a member's process: start, suspension, resumption, exit and restart.
package memberprocess

// Process is the process of one member over all its incarnations. The zero value is a process that was never started.
type Process struct {
	up           bool
	suspended    bool
	incarnation  int
	pendingSteps []func() // steps submitted while the process was suspended
}

// StartIncarnation starts the process with the next incarnation number.
func (p *Process) StartIncarnation() {
	*p = Process{up: true, incarnation: p.incarnation + 1}
}

// End ends the process. Its pending steps never run.
func (p *Process) End() { p.up = false }

// Suspend suspends the process until Resume is called.
func (p *Process) Suspend() { p.suspended = true }

// Up reports whether the process has started and not ended. It may be suspended.
func (p *Process) Up() bool { return p.up }

// Running reports whether the process is up and not suspended.
func (p *Process) Running() bool { return p.up && !p.suspended }

// Suspended reports whether the process was suspended since its start and not resumed.
func (p *Process) Suspended() bool { return p.suspended }

// Incarnation returns the number of the current or last incarnation, 0 before the first start.
func (p *Process) Incarnation() int { return p.incarnation }

// IsIncarnation reports whether the process is up and runs the given incarnation.
func (p *Process) IsIncarnation(incarnation int) bool { return p.up && p.incarnation == incarnation }

// Run runs a step of an incarnation at once, or when the process resumes if it is suspended. If the incarnation has ended,
// the step never runs.
func (p *Process) Run(incarnation int, step func()) {
	switch {
	case !p.IsIncarnation(incarnation):
	case p.suspended:
		p.pendingSteps = append(p.pendingSteps, step)
	default:
		step()
	}
}

// Resume resumes an incarnation and runs its pending steps in order, until one of them ends or suspends the process.
func (p *Process) Resume(incarnation int) {
	if !p.IsIncarnation(incarnation) {
		return
	}
	p.suspended = false
	for len(p.pendingSteps) > 0 && p.Running() {
		step := p.pendingSteps[0]
		p.pendingSteps = p.pendingSteps[1:]
		step()
	}
}
