package service

import (
	"context"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// lastAnswersPoll is how often the last answers are checked for having been written.
const lastAnswersPoll = time.Millisecond

// handleSignals handles signals until ctx ends or a graceful shutdown is complete. On a signal to stop, connections are
// accepted and kept for as long as new ones may come, and then closed as they have nothing pending. What is still pending
// at the end of the time fails.
func (p *program) handleSignals(ctx context.Context, signals, reload <-chan os.Signal) {
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
				stopAccepting, drain, stop = time.After(p.limits.AcceptPeriod), time.After(p.limits.DrainDelay), time.After(p.limits.ShutdownTimeout)
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
			p.awaitLastAnswers()
			return
		}
	}
}

// awaitLastAnswers gives the last answers a moment to be written.
func (p *program) awaitLastAnswers() {
	deadline := time.Now().Add(p.limits.RetryDelay)
	for p.clients.Drain() > 0 && time.Now().Before(deadline) {
		time.Sleep(lastAnswersPoll)
	}
}

// reload reads the configuration again. An invalid one changes nothing.
func (p *program) reload() {
	next, fromNextStart, err := p.start.Reload(os.Getenv)
	p.router.Reloaded(err == nil)
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
