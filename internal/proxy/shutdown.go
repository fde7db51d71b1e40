package proxy

import (
	"os"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/settings"
)

const (
	// platformNoticeTime is how long the platform may take to detect that this proxy is not ready and to send clients to others.
	platformNoticeTime = 2500 * time.Millisecond
	shutdownPoll       = 100 * time.Millisecond
)

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	started   bool // SIGTERM was received
	closeIdle bool // platformNoticeTime has passed: sessions are closed as soon as they are idle
}

// handleSignals returns when the process should end: after a graceful shutdown, or when the server's context is canceled.
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

// reloadSettings rereads the settings and applies those that may change while the proxy runs. If the settings are invalid, it
// changes nothing.
func (s *Server) reloadSettings() {
	read, err := settings.Read()
	if err != nil {
		s.log.Error("settings not reloaded", "error", err)
		return
	}
	s.queue.Put(eventloop.PriorityControl, func() { s.settings.SeedPeers, s.settings.Bounds = read.SeedPeers, read.Bounds })
	s.log.Info("settings reloaded", "seeds", read.SeedPeers)
}

// shutdownPhases divides the grace period of a shutdown. After closeIdleAfter, sessions are closed as they become idle; after
// answerAfter, all pending statements are answered with an error. A statement that was sent to a host may take until the last sixth
// of the grace period; the rest is left for sending the answers.
func shutdownPhases(grace time.Duration) (closeIdleAfter, answerAfter time.Duration) {
	return min(platformNoticeTime, grace/2), grace * 11 / 12
}

// shutDown closes all sessions within the grace period of the settings. It first reports that this proxy is not ready and keeps
// serving until the platform has noticed, then closes sessions as they become idle. Near the end of the grace period it answers
// all pending statements with an error.
func (s *Server) shutDown() {
	s.log.Info("shutting down")
	startedAt := time.Now()
	closeIdleAfter, answerAfter := shutdownPhases(settings.DurationFromMs(s.settings.Bounds.GraceS * 1000))
	s.queue.Put(eventloop.PriorityControl, func() {
		s.shutdown.started = true
		s.sweep(s.clock.Time())
	})
	for {
		time.Sleep(shutdownPoll)
		openSessions, ok := query(s.queue, func() int {
			if time.Since(startedAt) > closeIdleAfter {
				s.drainIdleSessions()
			}
			return len(s.sessions.open)
		})
		elapsed := time.Since(startedAt)
		if !ok || elapsed > answerAfter || openSessions == 0 && elapsed > closeIdleAfter {
			query(s.queue, func() struct{} {
				s.failPendingStatements()
				return struct{}{}
			})
			return
		}
	}
}

// drainIdleSessions closes the idle sessions, and from now on each session that becomes idle.
func (s *Server) drainIdleSessions() {
	s.shutdown.closeIdle = true
	for client := range s.sessions.open {
		if client.isIdle() {
			client.drain()
		}
	}
}

// failPendingStatements answers every pending statement with an error, because the proxy is about to stop. A statement that waits for a
// host is withdrawn, so that no connection that becomes free sends it after the answer said that it was not sent.
func (s *Server) failPendingStatements() {
	for _, client := range s.sessions.byAge() {
		stmt := client.statement
		if stmt == nil {
			continue
		}
		kind := stmt.shutdownError()
		if client.CurrentState() != stateIdle {
			client.ConnectionLost()
		}
		client.draining, client.readerEnded = true, true
		s.finishStatement(stmt, s.errorReply(kind, 0))
		if stmt.command != nil {
			s.withdraw(stmt)
		}
	}
}

// shutdownError returns the error for a statement that is still pending when the proxy stops. A statement that was not sent has not
// been executed. Like failPinned, it applies the rule of commitInDoubt; a single write that was sent is treated like one whose
// attempt has ended (endAttempt).
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
