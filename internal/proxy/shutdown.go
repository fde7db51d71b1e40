package proxy

import (
	"os"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/settings"
)

const (
	// platformNoticeTime is how long the platform may take to see that this proxy is not ready and to send clients elsewhere.
	platformNoticeTime = 2500 * time.Millisecond
	shutdownPoll       = 100 * time.Millisecond
)

// shutdownState is how far a graceful shutdown has come.
type shutdownState struct {
	begun     bool // SIGTERM has come
	closeIdle bool // the platform has had time to notice: sessions end as soon as they are idle
}

// handleSignals returns when the process is to end: after a graceful shutdown, or with ctx.
func (s *Server) handleSignals(signals, reload <-chan os.Signal) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-reload:
			s.reloadSettings()
		case <-signals:
			s.shutDown()
			return
		}
	}
}

// reloadSettings takes over those settings that may change while the proxy runs; settings with an error change nothing.
func (s *Server) reloadSettings() {
	read, err := settings.Read()
	if err != nil {
		s.log.Error("settings rejected", "error", err)
		return
	}
	s.queue.Put(eventloop.PriorityControl, func() { s.settings.SeedPeers, s.settings.Bounds = read.SeedPeers, read.Bounds })
	s.log.Info("settings reloaded", "seeds", read.SeedPeers)
}

// shutdownPhases says, for a grace, from when sessions are closed as they become idle, and when what is left is answered. A statement
// that is with its host may take until the last sixth of the grace; the rest is for the answers to go out.
func shutdownPhases(grace time.Duration) (closeIdleAfter, answerAfter time.Duration) {
	return min(platformNoticeTime, grace/2), grace * 11 / 12
}

// shutDown ends sessions within the grace that the settings give. It first reports that this proxy is not ready and serves on
// until the platform has noticed; then it closes sessions as they become idle; in the last moments of the grace it answers what is
// left.
func (s *Server) shutDown() {
	s.log.Info("shutting down")
	began := time.Now()
	closeIdleAfter, answerAfter := shutdownPhases(settings.DurationFromMs(s.settings.Bounds.GraceS * 1000))
	s.queue.Put(eventloop.PriorityControl, func() {
		s.shutdown.begun = true
		s.sweep(s.clock.Time())
	})
	for {
		time.Sleep(shutdownPoll)
		left, ok := query(s.queue, func() int {
			if time.Since(began) > closeIdleAfter {
				s.drainIdleSessions()
			}
			return len(s.sessions.open)
		})
		spent := time.Since(began)
		if !ok || spent > answerAfter || left == 0 && spent > closeIdleAfter {
			query(s.queue, func() struct{} {
				s.failPendingStatements()
				return struct{}{}
			})
			return
		}
	}
}

// drainIdleSessions ends the sessions that are idle, and from now on each one that becomes so.
func (s *Server) drainIdleSessions() {
	s.shutdown.closeIdle = true
	for client := range s.sessions.open {
		if client.idle() {
			client.drain()
		}
	}
}

// failPendingStatements answers every statement that has no answer, as this proxy ends.
func (s *Server) failPendingStatements() {
	for _, client := range s.sessions.byAge() {
		stmt := client.statement
		if stmt == nil {
			continue
		}
		kind := stmt.shutdownError()
		if client.IdleState() != stateIdle {
			client.ConnectionLost()
		}
		client.ending, client.readerEnded = true, true
		s.finishStatement(stmt, s.errorReply(kind, 0))
	}
}

// shutdownError is the answer to a statement that is still pending at the end: what was not sent has not run. It follows the rule
// of commitInDoubt, as failPinned does; a single write that was sent counts like one whose attempt has ended (endAttempt).
func (stmt *statement) shutdownError() errcode.Kind {
	switch {
	case stmt.commitInDoubt():
		return errcode.InDoubt
	case stmt.commandID != "" && (stmt.attempt.sent || stmt.mayHaveRun) && stmt.writesData():
		return errcode.InDoubt
	case stmt.isPinned():
		return errcode.RolledBack
	}
	return errcode.WriteNotSent
}
