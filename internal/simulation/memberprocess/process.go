// Package memberprocess simulates the life of a member's process: it starts, is suspended and resumed, ends, and starts again.
package memberprocess

// Process is one member's process, in one incarnation after the other. The zero value is one that was never started.
type Process struct {
	up          bool
	suspended   bool
	incarnation int
	held        []func() // steps that came while it was suspended
}

// StartIncarnation starts the next incarnation.
func (p *Process) StartIncarnation() {
	*p = Process{up: true, incarnation: p.incarnation + 1}
}

// End ends the process. What it still had to do is gone.
func (p *Process) End() { p.up = false }

// Suspend stops the process until Resume.
func (p *Process) Suspend() { p.suspended = true }

// Up says whether the process has started and not ended. It may be suspended.
func (p *Process) Up() bool { return p.up }

// Running says whether the process is up and not suspended.
func (p *Process) Running() bool { return p.up && !p.suspended }

// Suspended says whether Suspend was called since the start, and not Resume.
func (p *Process) Suspended() bool { return p.suspended }

// Incarnation counts the starts.
func (p *Process) Incarnation() int { return p.incarnation }

// Is says whether the process is up in an incarnation.
func (p *Process) Is(incarnation int) bool { return p.up && p.incarnation == incarnation }

// Run runs a step of an incarnation: at once, when the process is resumed, or never if the incarnation has ended.
func (p *Process) Run(incarnation int, step func()) {
	switch {
	case !p.Is(incarnation):
	case p.suspended:
		p.held = append(p.held, step)
	default:
		step()
	}
}

// Resume resumes an incarnation, and runs the steps that came while it was suspended until one ends or suspends it.
func (p *Process) Resume(incarnation int) {
	if !p.Is(incarnation) {
		return
	}
	p.suspended = false
	for len(p.held) > 0 && p.Running() {
		step := p.held[0]
		p.held = p.held[1:]
		step()
	}
}
