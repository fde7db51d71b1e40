package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ferrypitch/internal/simulation/program"
	"ferrypitch/internal/wire"
)

const (
	readinessInterval  = 200 * time.Millisecond
	configReadInterval = 150 * time.Millisecond
	memoryInterval     = 500 * time.Millisecond
	markerInterval     = 300 * time.Millisecond

	// unreadyTime is the time after SIGTERM within which a proxy must report that it is not ready. The platform polls
	// readiness every second.
	unreadyTime = time.Second

	// Memory limits of a process, as in the deployments.
	maxProxyMemoryKB  = 184 << 10
	maxMemberMemoryKB = 280 << 10
)

// watchReadiness polls a proxy's readiness like the platform until ctx ends.
func (k *soak) watchReadiness(ctx context.Context, n *node) {
	client := &http.Client{Timeout: readinessTimeout}
	interval := max(readinessInterval, time.Duration(len(k.proxyNodes))*readinessInterval/20)
	for sleep(ctx, interval) == nil {
		incarnation, askedAt := n.currentIncarnation(), time.Now()
		ready := isReady(ctx, client, n.readyAddress)
		n.mu.Lock()
		n.ready = ready
		stopped := incarnation.terminatedAt
		late := ready && !stopped.IsZero() && askedAt.Sub(stopped) > unreadyTime+k.stalls.since(stopped) && incarnation == n.incarnation &&
			incarnation.activeFreezes == 0 && incarnation.freezeChangedAt.Before(stopped)
		n.mu.Unlock()
		if late {
			k.violate("READY: %s is ready %v after SIGTERM", n.name, roundMs(askedAt.Sub(stopped)))
		}
	}
}

// watchMemory checks the memory of each process against its limit. It aborts the run if all processes together use more than
// half of the machine's memory.
func (k *soak) watchMemory(ctx context.Context, abort context.CancelCauseFunc) {
	limit := machineMemoryKB() / 2
	for sleep(ctx, memoryInterval) == nil {
		total := program.ResidentKB(os.Getpid())
		for _, n := range k.nodes() {
			resident := n.process.Usage().ResidentKB
			total += resident
			n.mu.Lock()
			risen := resident > n.peakKB
			n.peakKB = max(n.peakKB, resident)
			n.mu.Unlock()
			if risen && resident > n.maxMemory {
				k.violate("MEMORY: %s uses %d kB, its limit is %d kB", n.name, resident, n.maxMemory)
			}
		}
		k.recordPeakMemory(total)
		if limit > 0 && total > limit {
			abort(fmt.Errorf("the run uses %d kB, more than half of the machine's memory (%d kB)", total, limit))
			return
		}
	}
}

// machineMemoryKB returns the memory of the machine in kB, or 0 if it is unknown.
func machineMemoryKB() (total int) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "MemTotal:")
	_, _ = fmt.Sscan(rest, &total) // total stays 0 if it can't be parsed
	return total
}

// watchMarkers checks the marker routes at the proxies in turn until ctx ends. It skips a proxy while the proxy or the control
// plane recovers from a fault.
func (k *soak) watchMarkers(ctx context.Context) {
	for i := 0; sleep(ctx, markerInterval) == nil; i++ {
		n := k.proxyNodes[i%len(k.proxyNodes)]
		if n.isStable(reconnectTime) && k.controlPlaneStable() {
			k.checkMarkers(ctx, n)
		}
	}
}

// controlPlaneStable reports whether all members have been stable for reconnectTime.
func (k *soak) controlPlaneStable() bool {
	for _, n := range k.memberNodes {
		if !n.isStable(reconnectTime) {
			return false
		}
	}
	return true
}

// checkMarkers checks that a proxy has applied the newest version, if it was acknowledged at least configApplyTime ago. The
// proxy must have the marker route of that version, and not that of the version before.
func (k *soak) checkMarkers(ctx context.Context, n *node) {
	newest := k.operators.newestVersion()
	if time.Since(newest.ackedAt) < configApplyTime+k.stalls.since(newest.ackedAt) {
		return
	}
	if code, ok := connectCode(ctx, n.address, markerHost(newest.config.Generation)); ok && code == wire.CodeNoDatabase {
		k.violate("CONFIG: %s lacks the route of generation %d, acknowledged %v ago", n.name, newest.config.Generation,
			roundMs(time.Since(newest.ackedAt)))
	}
	if code, ok := connectCode(ctx, n.address, markerHost(newest.base)); ok && code == "" {
		k.violate("CONFIG: %s still has the route of generation %d, removed %v ago", n.name, newest.base,
			roundMs(time.Since(newest.ackedAt)))
	}
}

// connectCode opens a session for a database and returns the error code of the answer, which is empty for success. It returns
// false if there was no answer.
func connectCode(ctx context.Context, address, database string) (code wire.Code, ok bool) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return "", false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(responseTimeout))
	fmt.Fprintf(conn, "CONNECT %s probe\r\n", database)
	var text [512]byte
	size, err := conn.Read(text[:])
	if err != nil {
		return "", false
	}
	if fields := strings.Fields(string(text[:size])); len(fields) > 1 && fields[0] == "ERROR" {
		return wire.Code(fields[1]), true
	}
	return "", true
}

// checkNoLeftovers checks that no process of the run still listens or holds connections to hosts.
func (k *soak) checkNoLeftovers() {
	for _, n := range k.nodes() {
		for _, listen := range n.settings.listen {
			listener, err := net.Listen("tcp", listen.address)
			if err != nil {
				k.violate("LEFT: %s of %s is still in use: %v", listen.name, n.name, err)
				continue
			}
			listener.Close()
		}
	}
	time.Sleep(settleTime)
	k.scheduler.Lock()
	defer k.scheduler.Unlock()
	for _, host := range k.hosts.Hosts {
		if open := len(host.Conns); open > 0 {
			k.violate("LEFT: %s has %d connections after all processes have ended", host.ID, open)
		}
	}
}

// forEachNode calls do for all nodes concurrently and waits for all calls to return.
func forEachNode(nodes []*node, do func(*node)) {
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() { do(n) })
	}
	running.Wait()
}
