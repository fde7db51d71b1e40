package cluster

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"ferrypitch/internal/simulation/program"
)

// Time limits for the checks of processes.
const (
	gracePeriod = graceS * time.Second
	// graceSlack extends the grace period, since a shutdown takes longer on a busy machine.
	graceSlack = time.Second
	// reconnectTime is how long after a fault a process may still be affected by it.
	reconnectTime = 4 * time.Second
	// stackDumpTime is how long a process that exceeds its grace period has to write its goroutine stacks before SIGKILL.
	stackDumpTime = time.Second
	// defaultDownTime is how long a process is down unless the event that ended it sets another time.
	defaultDownTime = 200 * time.Millisecond
)

// node is a process of a soak test. Like the platform, it restarts the process after each exit.
type node struct {
	soak         *soak
	name         string
	process      *program.Process
	settings     nodeSettings
	address      string // where clients or operators connect
	readyAddress string // of the readiness checks of a proxy
	maxMemory    int    // in kB
	isMember     bool
	supervisor   sync.WaitGroup

	mu          sync.Mutex         // protects the fields below
	incarnation *incarnationRecord // of the current incarnation
	closing     bool               // the process is not restarted
	losesDisk   bool               // the process starts again with an empty disk
	ready       bool               // result of the last readiness check
	peakKB      int
}

// incarnationRecord records the signals sent to one incarnation of a process. The node's lock protects it.
type incarnationRecord struct {
	startedAt       time.Time
	terminatedAt    time.Time // when the first SIGTERM was sent; zero if none was
	listening       bool      // the process listened at the first SIGTERM, so its signal handlers were installed
	killedAt        time.Time
	freezeChangedAt time.Time // when a freeze last began or ended; zero if there was none
	activeFreezes   int       // number of overlapping freezes in progress
	downTime        time.Duration
}

// supervise restarts the process after each exit until the node is closed or ctx ends.
func (n *node) supervise(ctx context.Context) {
	for {
		incarnation := n.process.Incarnation()
		select {
		case <-ctx.Done():
			return
		case <-incarnation.Ended():
		}
		downTime, willRestart := n.checkExit(incarnation)
		if !willRestart || sleep(ctx, downTime) != nil {
			return
		}
		if err := n.restart(); err != nil {
			n.soak.violate("CRASH: %s can't be restarted: %v", n.name, err)
			return
		}
	}
}

// checkExit checks how an incarnation exited. It returns whether to start another one and how long to wait before that.
func (n *node) checkExit(incarnation *program.Incarnation) (downTime time.Duration, willRestart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	record := n.incarnation
	n.ready = false
	stopped := record.terminatedAt
	switch {
	case !record.killedAt.IsZero():
	case stopped.IsZero():
		n.soak.violate("CRASH: %s ended by itself: %s; see %s", n.name, incarnation.Status(), n.soak.logFile(n.name))
	case !incarnation.Succeeded() && record.listening:
		n.soak.violate("CRASH: %s ended with %s after SIGTERM; see %s", n.name, incarnation.Status(), n.soak.logFile(n.name))
	}
	n.soak.log("%s ended: %s", n.name, incarnation.Status())
	return record.downTime, !n.closing
}

// restart starts the process with its valid settings.
func (n *node) restart() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return nil
	}
	settings := n.settings
	if n.soak.losses != nil {
		settings.seedPeers = n.soak.losses.drawSeeds()
	}
	if err := n.soak.writeSettings(n.name, settings.toml()); err != nil {
		return err
	}
	if n.losesDisk {
		n.losesDisk = false
		if err := os.RemoveAll(settings.dataDir); err != nil {
			return err
		}
	}
	n.incarnation = newIncarnationRecord()
	n.soak.log("%s starts with seeds %v", n.name, settings.seedPeers)
	return n.process.Restart()
}

func newIncarnationRecord() *incarnationRecord {
	return &incarnationRecord{startedAt: time.Now(), downTime: defaultDownTime}
}

// currentIncarnation returns the signal record of the current incarnation.
func (n *node) currentIncarnation() *incarnationRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// terminate sends SIGTERM, and SIGKILL after the grace period. If the process is shutting down already, it gets another SIGTERM.
func (n *node) terminate(downTime time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	incarnation, record := n.process.Incarnation(), n.incarnation
	if incarnation.HasEnded() {
		return
	}
	if record.terminatedAt.IsZero() {
		record.terminatedAt, record.downTime, record.listening = time.Now(), downTime, n.isListening()
		time.AfterFunc(gracePeriod+graceSlack, func() {
			time.Sleep(n.soak.stalls.since(record.terminatedAt))
			n.enforceGrace(incarnation, record)
		})
	}
	incarnation.Signal(syscall.SIGTERM)
}

// enforceGrace kills a process that has not exited within its grace period. This is a violation unless the process was frozen
// in the meantime.
func (n *node) enforceGrace(incarnation *program.Incarnation, record *incarnationRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if incarnation.HasEnded() {
		return
	}
	if record.activeFreezes == 0 && record.freezeChangedAt.Before(record.terminatedAt) && !incarnation.HasExited() {
		n.soak.violate("GRACE: %s still runs %v after SIGTERM", n.name, roundMs(time.Since(record.terminatedAt)))
	}
	record.killedAt = time.Now()
	incarnation.Signal(syscall.SIGCONT)
	incarnation.Signal(syscall.SIGQUIT) // writes the goroutine stacks to the log
	time.AfterFunc(stackDumpTime, func() { incarnation.Signal(syscall.SIGKILL) })
}

// kill sends SIGKILL.
func (n *node) kill(downTime time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	incarnation := n.process.Incarnation()
	if incarnation.HasEnded() {
		return
	}
	n.incarnation.killedAt, n.incarnation.downTime = time.Now(), downTime
	incarnation.Signal(syscall.SIGKILL)
}

// loseDisk sends SIGKILL and has the process start again with an empty disk.
func (n *node) loseDisk(downTime time.Duration) {
	n.mu.Lock()
	n.losesDisk = true
	n.mu.Unlock()
	n.kill(downTime)
}

// freeze suspends the process with SIGSTOP for a span. If freezes overlap, the process resumes after the last one.
func (n *node) freeze(ctx context.Context, span time.Duration) {
	incarnation, record := n.process.Incarnation(), n.currentIncarnation()
	n.mu.Lock()
	record.activeFreezes++
	record.freezeChangedAt = time.Now()
	incarnation.Signal(syscall.SIGSTOP)
	n.mu.Unlock()
	_ = sleep(ctx, span) // the process is resumed even if ctx has ended
	n.mu.Lock()
	defer n.mu.Unlock()
	record.activeFreezes--
	record.freezeChangedAt = time.Now()
	if record.activeFreezes == 0 {
		incarnation.Signal(syscall.SIGCONT)
	}
}

// reload writes changed valid settings, with or without SIGHUP: the process also watches the file.
func (n *node) reload(variant int) error {
	settings := n.settings
	settings.seedPeers = rotated(settings.seedPeers, variant%len(settings.seedPeers))
	settings.restarted = true
	return n.replaceSettings(settings.toml(), variant%3 != 0)
}

// breakSettings writes invalid settings, and the valid ones again after a span.
func (n *node) breakSettings(ctx context.Context, variant int, span time.Duration) error {
	proper := n.settings.toml()
	broken := proper[:len(proper)/2]
	if variant%2 == 0 {
		broken = strings.Replace(proper, "GraceS = ", "GraceS = -", 1)
	}
	if err := n.replaceSettings(broken, true); err != nil {
		return err
	}
	_ = sleep(ctx, span) // the valid settings are restored even if ctx has ended
	return n.replaceSettings(proper, true)
}

// replaceSettings writes the settings file of a running process. If the process is down, or has not read its settings yet, the
// valid file stays.
func (n *node) replaceSettings(toml string, signal bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	incarnation := n.process.Incarnation()
	if incarnation.HasEnded() || !n.isListening() {
		return nil
	}
	if err := n.soak.writeSettings(n.name, toml); err != nil {
		return err
	}
	if signal {
		incarnation.Signal(syscall.SIGHUP)
	}
	return nil
}

// awaitRunning waits until the process runs and has not been told to exit, or ctx ends.
func (n *node) awaitRunning(ctx context.Context) {
	for !n.isRunning() && sleep(ctx, recoverInterval) == nil {
		continue
	}
}

func (n *node) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.process.Incarnation().HasEnded() && n.incarnation.terminatedAt.IsZero() && n.incarnation.killedAt.IsZero()
}

// isListening reports whether the process accepts connections, which means that it has read its settings.
func (n *node) isListening() bool {
	conn, err := net.DialTimeout("tcp", n.address, dialTimeout)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// close stops the process without a restart.
func (n *node) close() {
	n.mu.Lock()
	n.closing = true
	n.mu.Unlock()
	n.terminate(0)
	n.supervisor.Wait()
}

// ranUndisturbed reports whether an incarnation was never killed, and not frozen since the given time.
func (n *node) ranUndisturbed(record *incarnationRecord, since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return record.killedAt.IsZero() && record.activeFreezes == 0 && record.freezeChangedAt.Before(since)
}

// isStable reports whether the process runs and was not started, stopped, killed or frozen within the last span.
func (n *node) isStable(span time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, since := n.incarnation, time.Now().Add(-span)
	return !n.process.Incarnation().HasEnded() && record.terminatedAt.IsZero() && record.killedAt.IsZero() && record.activeFreezes == 0 &&
		record.startedAt.Before(since) && record.freezeChangedAt.Before(since)
}

// rotated returns the items starting at index first, followed by those before it.
func rotated(items []string, first int) []string {
	return append(append([]string{}, items[first:]...), items[:first]...)
}

func roundMs(span time.Duration) time.Duration { return span.Round(time.Millisecond) }
