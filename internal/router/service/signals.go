package service

import (
	"context"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/router/setup"
)

// finalAnswersPollInterval is the interval of the checks whether the final answers have been written.
const finalAnswersPollInterval = time.Millisecond

// handleSignals handles signals until ctx ends or a graceful shutdown is complete. After a stop signal, connections are accepted
// for AcceptPeriod. After drainDelay, connections are closed as soon as they have nothing pending. Commands that are pending after
// ShutdownTimeout fail.
func (p *service) handleSignals(ctx context.Context, signals, reload <-chan os.Signal) {
	var stopAccepting, drain, stop <-chan time.Time // nil until a signal to stop
	for {
		select {
		case <-ctx.Done():
			return
		case signal := <-signals:
			if signal == syscall.SIGUSR1 {
				p.log.Info("counts", p.counters()...)
			} else if stop == nil {
				p.log.Info("stopping", zap.String("signal", signal.String()))
				stopAccepting, drain, stop = time.After(p.limits.AcceptPeriod), time.After(drainDelay(p.limits, p.router.TimeToAnswer())), time.After(p.limits.ShutdownTimeout)
			}
		case <-reload:
			if p.watch != nil { // a forwarder has no discovery whose address could change
				p.reload()
			}
		case <-stopAccepting:
			p.clients.StopAccepting()
		case <-drain:
			if drain = time.After(p.limits.RetryDelay); p.clients.Drain() == 0 {
				return
			}
		case <-stop:
			p.router.FailPending()
			p.awaitFinalAnswers()
			return
		}
	}
}

// drainDelay returns for how long after a stop signal connections stay open for further commands: as long as a host can answer them
// before ShutdownTimeout, since their clients may have no other router to connect to.
func drainDelay(limits *setup.Limits, timeToAnswer time.Duration) time.Duration {
	return max(limits.AcceptPeriod, limits.ShutdownTimeout-timeToAnswer)
}

// awaitFinalAnswers waits until the final answers are written, but at most RetryDelay.
func (p *service) awaitFinalAnswers() {
	deadline := time.Now().Add(p.limits.RetryDelay)
	for p.clients.Drain() > 0 && time.Now().Before(deadline) {
		time.Sleep(finalAnswersPollInterval)
	}
}

// reload reloads the configuration. An invalid configuration changes nothing.
func (p *service) reload() {
	next, fromNextStart, err := p.start.Reload(os.Getenv)
	p.router.RecordReload(err == nil)
	if err != nil {
		p.rejectedReloads++
		p.log.Warn("the configuration stays as it was", zap.Error(err))
		return
	}
	p.reloads++
	p.log.Info("configuration read again", zap.String("discovery", next.Discovery),
		zap.Strings("from the next start only", fromNextStart))
	p.watch.SetAddress(next.Discovery)
	p.start = next
}
