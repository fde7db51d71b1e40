package plannerserver

import (
	"context"
	"sync"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

// Statements of probes. A host that reports its load includes its position and role in the result.
const (
	probeStatement      = "SELECT 1"
	loadReportStatement = "SHOW server_load"
)

const (
	tenthsPerMillisecond = 10
	// positionToleranceMs is how far a valid position may be ahead of the clock, since hosts round it up.
	positionToleranceMs = 2
)

// noPosition is the position if a response contains none.
const noPosition = policy.TenthMs(-1)

// probe sends a probe to a host. The result is reported to the state machine exactly
// once, at the latest after the connect timeout.
func (s *Server) probe(ctx context.Context, name string) {
	host := s.hosts[name]
	if host == nil {
		s.core.ProbeFinished(s.clock.Now(), name, false, noPosition, policy.UnknownRole, 0)
		return
	}
	statement := probeStatement
	if s.start.Deployment.PositionsReported {
		statement = loadReportStatement
	}
	s.Probes.Add(1)
	s.trace.Probe(name)
	sentAt := s.clock.Now()
	deadline := time.Now().Add(s.start.Limits.ConnectTimeout)
	var once sync.Once
	finish := func(answer transport.Answer) {
		once.Do(func() {
			s.enqueue(ctx, func() { s.finishProbe(name, sentAt, answer) })
		})
	}
	call := host.Send([]byte(statement), deadline, deadline, false, finish)
	time.AfterFunc(time.Until(deadline), func() {
		if outcome, abandoned := call.Abandon(); abandoned {
			finish(transport.Answer{Outcome: outcome})
		}
	})
}

// finishProbe reports the result of a probe. It must be called by the owner's goroutine.
func (s *Server) finishProbe(name string, sentAt policy.TenthMs, answer transport.Answer) {
	now := s.clock.Now()
	responded := answer.Outcome == policy.Answered
	position, role := s.parseHostStatus(answer, now)
	s.trace.EndProbe(name, responded, position, role, now-sentAt)
	s.core.ProbeFinished(now, name, responded, position, role, sentAt)
}

// parseHostStatus returns the position and role in a response, from its parameters or
// from a load report. The position is noPosition if the response contains none.
func (s *Server) parseHostStatus(answer transport.Answer, now policy.TenthMs) (policy.TenthMs, policy.Role) {
	maxPositionMs := float64(now)/tenthsPerMillisecond + positionToleranceMs
	position, role := setup.ParseHostStatus(answer.Position, answer.Role, maxPositionMs)
	if position >= 0 || !s.start.Deployment.PositionsReported {
		return position, role
	}
	formats := s.start.Formats
	reportedPosition, reportedRole, ok := formats.ParseLoadReport(func(i int) (float64, bool) {
		return protocol.LoadReportField(answer.Value, formats.LoadReportFields[i])
	})
	if !ok {
		return position, role
	}
	return reportedPosition, reportedRole
}
