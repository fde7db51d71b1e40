package plan

import (
	"context"
	"sync"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

// The statements of probes. Hosts that report their load name their position and role in the result.
const (
	probeStatement      = "SELECT 1"
	loadReportStatement = "SHOW server_load"
)

const (
	tenthsPerMillisecond = 10
	// positionToleranceMs is how far a position may be ahead of the clock: hosts round it up.
	positionToleranceMs = 2
)

// noPosition is the position of a response that names none.
const noPosition = policy.TenthMs(-1)

// probe sends a probe to a host. The core learns of its end exactly once, at the
// latest after the connect timeout.
func (p *Server) probe(ctx context.Context, name string) {
	host := p.hosts[name]
	if host == nil {
		p.core.ProbeFinished(p.clock.Now(), name, false, noPosition, policy.UnknownRole, 0)
		return
	}
	statement := probeStatement
	if p.start.Deployment.PositionsReported {
		statement = loadReportStatement
	}
	p.Probes.Add(1)
	p.trace.Probe(name)
	sentAt := p.clock.Now()
	deadline := time.Now().Add(p.start.Limits.ConnectTimeout)
	var once sync.Once
	finish := func(answer transport.Answer) {
		once.Do(func() {
			p.enqueue(ctx, func() { p.finishProbe(name, sentAt, answer) })
		})
	}
	call := host.Send([]byte(statement), deadline, deadline, false, finish)
	time.AfterFunc(time.Until(deadline), func() {
		if outcome, abandoned := call.Abandon(); abandoned {
			finish(transport.Answer{Outcome: outcome})
		}
	})
}

// finishProbe runs on the owner's goroutine.
func (p *Server) finishProbe(name string, sentAt policy.TenthMs, answer transport.Answer) {
	now := p.clock.Now()
	responded := answer.Outcome == policy.Answered
	position, role := p.stateOf(answer, now)
	p.trace.EndProbe(name, responded, position, role, now-sentAt)
	p.core.ProbeFinished(now, name, responded, position, role, sentAt)
}

// stateOf returns the position and role that an answer names: in its parameters,
// or in a load report. The position is noPosition if there is none.
func (p *Server) stateOf(answer transport.Answer, now policy.TenthMs) (policy.TenthMs, policy.Role) {
	maxPositionMs := float64(now)/tenthsPerMillisecond + positionToleranceMs
	position, role := setup.ParseHostStatus(answer.Position, answer.Role, maxPositionMs)
	if position >= 0 || !p.start.Deployment.PositionsReported {
		return position, role
	}
	terms := p.start.Formats
	reportedPosition, reportedRole, ok := terms.ParseLoadReport(func(i int) (float64, bool) {
		return protocol.LoadReportField(answer.Value, terms.Fields[i])
	})
	if !ok {
		return position, role
	}
	return reportedPosition, reportedRole
}
