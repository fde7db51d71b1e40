package policy

import (
	"fmt"
	"testing"
)

// Previews must not change decisions: two routers with the same seed get the same commands, and one of them runs previews.
func TestPreviewChangesNoDecision(t *testing.T) {
	without, _ := submitWithPreviews(t, false)
	with, differences := submitWithPreviews(t, true)
	if without != with {
		t.Errorf("previews changed the decisions:\n%s\n%s", without, with)
	}
	if differences < 20 {
		t.Errorf("only %d of 300 commands differed from their preview", differences)
	}
}

// submitWithPreviews submits 300 commands, with previews or without. It returns the dispatches and the final state of the router,
// and the number of commands whose disposition differed from their preview.
func submitWithPreviews(t *testing.T, preview bool) (decisions string, differences int) {
	env := newTestEnv(t, 4, func(d *Deployment) { d.RouterCount = 120 })
	deployment := shadowDeployment(env.router.Deployment)
	shadow := NewShadowSettings(deployment, env.now)
	for i := range 300 {
		index := []int{0, 1, 4}[i%3]
		group := env.router.Groups[index]
		timeout := env.now + group.Timeout
		expected, expectedHost := Queued, (*Host)(nil)
		if preview {
			expected, expectedHost = env.router.Preview(shadow, deployment.Groups[index], group, 1, "s", timeout, 900)
		}
		command := env.router.Submit(fmt.Sprint(i), group, 1, "s", timeout, 900)
		if disposition, host := command.Disposition(); disposition != expected || host != expectedHost {
			differences++
		}
		if command.Host != nil && i%5 > 0 {
			env.answer(command, TenthMs(200+i%7*100))
		} else {
			env.advance(300)
		}
		for _, host := range env.probes {
			host.ReportLoad(env.now-2000, Replica)
			host.EndProbe(true)
		}
		env.probes = nil
	}
	for _, host := range env.dispatched {
		decisions += host.Name
	}
	return decisions + fmt.Sprint(len(env.finalAnswer), env.router.probeCredit, env.router.randomDraws), differences
}

// shadowDeployment returns the deployment with position checks by hosts, no retry delay, and AnyAge reads in the first group.
func shadowDeployment(deployment Deployment) Deployment {
	groups := make([]*CommandGroup, len(deployment.Groups))
	for i, group := range deployment.Groups {
		copied := *group
		groups[i] = &copied
	}
	groups[0].ConsistencyLevel = AnyAge
	deployment.Groups, deployment.HostsCheckPosition, deployment.MaxRetryAfter = groups, true, 0
	return deployment
}

func BenchmarkPreview(b *testing.B) {
	env := newTestEnv(&testing.T{}, 6, nil)
	shadow := NewShadowSettings(env.router.Deployment, env.now)
	group := env.router.Groups[1]
	for b.Loop() {
		env.router.Preview(shadow, group, group, 1, "s", env.now+group.Timeout, 900)
	}
}
