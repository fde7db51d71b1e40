package policy

import (
	"fmt"
	"testing"
)

// What an answer is worth, when it counts as good, and what probes and messages cost is stated by traces and reports. None of it is
// promised to a caller, so none of it may change a decision.
func TestDecisionsDependOnNoReportedFigure(t *testing.T) {
	want := playDecisions(t, func(*Deployment) {})
	for name, change := range map[string]func(*Deployment){
		"probe cost":  func(d *Deployment) { d.ProbeCost = 0.5 },
		"update cost": func(d *Deployment) { d.PeerUpdateCost = 0.5 },
		"target": func(d *Deployment) {
			for _, group := range d.Groups {
				group.ResponseTarget = group.ResponseTarget * 4 / 5
			}
		},
		"benefit": func(d *Deployment) {
			for i, group := range d.Groups {
				group.Benefit = float64(7 * (i + 1))
			}
		},
		"late benefit": func(d *Deployment) {
			for _, group := range d.Groups {
				group.LateBenefitFraction = 0.9
			}
		},
	} {
		if got := playDecisions(t, change); got != want {
			t.Errorf("%s changes what is decided", name)
		}
	}
}

// playDecisions plays ten seconds of load that is at times more than the hosts can take, and returns all decisions.
func playDecisions(t *testing.T, change func(*Deployment)) (decisions string) {
	env := newTestEnv(t, 4, func(d *Deployment) {
		d.PeerUpdatesEnabled, d.RouterCount, d.PeerUpdateCost, d.ProbeCost = true, 3, 0.1, 0.1
		change(d)
	})
	var open []*Command
	for step := range 1000 {
		group := env.router.Groups[step%len(env.router.Groups)]
		for i := range step / 100 % 5 {
			timeLeft := group.Timeout * TenthMs(2+i%3) / 4
			open = append(open, env.router.Submit(fmt.Sprint(step, "-", i), group, 1, "s", env.now+timeLeft, 500))
		}
		env.advance(100)
		var left []*Command
		for i, command := range open {
			switch {
			case command.IsFinished():
			case command.Host == nil || env.now < command.sentAt+TenthMs(300+(step+i)%7*200):
				left = append(left, command)
			default:
				outcome := []Outcome{Answered, Answered, Answered, Answered, Overloaded, Errored, Reset}[(step+i)%7]
				command.EndDispatch(outcome, env.now-20, command.Host.role, env.now-command.sentAt, false)
				left = append(left, command)
			}
		}
		open = left
		for _, host := range env.probes {
			host.ReportLoad(env.now-100, host.role)
			host.EndProbe(true)
		}
		env.probes = nil
		decisions += fmt.Sprintln(step, len(env.dispatched), len(env.finalAnswer), env.messages, env.retryAfter, env.dispatchTimeout)
		env.messages = nil
	}
	for _, host := range env.dispatched {
		decisions += host.Name
	}
	return decisions
}
