package cluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"ferrypitch/internal/simulation/faultplan"
)

// SoakOptions describes a soak test.
type SoakOptions struct {
	// Seed determines the schedule, the random choices of clients, and the loopback addresses tried first.
	Seed uint64
	// Duration is the time span of faults and changes.
	Duration time.Duration
	// Members and Proxies are the numbers of processes of each kind.
	Members, Proxies int
	// Clients is the number of clients for each proxy.
	Clients int
	// LoseDisks makes members lose their disks, and start with SeedPeers drawn anew. In the end as many disks are lost as the fault
	// budget allows, and all other processes end at the same moment.
	LoseDisks bool
	// Binaries holds the programs. If it is nil, they are built.
	Binaries Binaries
	// Logf logs progress. Optional.
	Logf func(format string, args ...any)
}

// SoakResult is the result of a soak test.
type SoakResult struct {
	Seed uint64
	// Events counts the faults, signals and changes in the schedule.
	Events int
	// Outcomes counts the outcomes of operations by route kind and operation.
	Outcomes []Outcomes
	// Unanswered counts the statements whose connection ended before the answer, including cases that are no violation.
	Unanswered         int
	LostDisks          int
	AcknowledgedWrites int
	ConfigVersions     int
	Promotions         int
	// RecoveredMs is the time in milliseconds from the last fault until all nodes served again.
	RecoveredMs int64
	// PeakRSSKB is the peak resident memory in kB of all processes together, including this one. PeakProxyKB and PeakMemberKB
	// are those of the largest proxy and member.
	PeakRSSKB, PeakProxyKB, PeakMemberKB int
	// StalledMs is the total time in milliseconds for which this process got no processor time.
	StalledMs int64
	// Violations describes the first violations. Each text begins with its time and the name of the rule.
	Violations []string
}

const (
	// recoveryTime limits the time from the last fault until all nodes must serve again.
	recoveryTime = 12 * time.Second
	// quietTime is how long clients continue after the recovery.
	quietTime  = time.Second
	eventsFile = "events.log"
)

// soak is a running soak test.
type soak struct {
	*cluster
	memberNodes, proxyNodes []*node
	operators               *operators
	stalls                  stallMeter
	losses                  *diskLosses    // nil if no disks are lost
	tasks                   sync.WaitGroup // events in progress
	probes                  atomic.Int64   // number of sessions opened to check whether a proxy serves

	// The cluster's lock protects the fields below.
	unanswered []unanswered
	soakResult SoakResult

	eventsMu sync.Mutex
	events   *os.File
}

// Soak runs a system through a random schedule of faults. It leaves the files and logs in dir. Violations are reported in the
// result; an error means that the run itself failed.
func Soak(ctx context.Context, dir string, options SoakOptions) (*SoakResult, error) {
	if options.Logf == nil {
		options.Logf = func(string, ...any) {}
	}
	if options.Members < 1 || options.Members > maxSize.members || options.Proxies < 1 || options.Proxies > maxSize.proxies {
		return nil, fmt.Errorf("%d members and %d proxies: want 1 to %d members and 1 to %d proxies",
			options.Members, options.Proxies, maxSize.members, maxSize.proxies)
	}
	network, claim, err := claimLoopbackNetwork(options.Seed)
	if err != nil {
		return nil, err
	}
	defer claim.Close()
	events, err := os.Create(filepath.Join(dir, eventsFile))
	if err != nil {
		return nil, err
	}
	k := &soak{
		cluster: newCluster(dir, network, size{options.Members, options.Proxies}, Options{
			For: options.Duration, Sessions: options.Clients, Seed: options.Seed, Logf: options.Logf,
		}),
		events:     events,
		soakResult: SoakResult{Seed: options.Seed},
	}
	k.binaries = options.Binaries
	if options.LoseDisks {
		k.losses = newDiskLosses(k)
	}
	k.onHostEvent = func(event string) { k.log("%s", event) }
	k.onViolation = func(violation string) { k.log("VIOLATION %s", violation) }
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		k.stop(cancel)
		_ = events.Close() // nothing is buffered
	}()
	if err := k.startSystem(ctx); err != nil {
		return nil, err
	}
	return k.run(ctx)
}

// startSystem starts the system and waits until all proxies are ready.
func (k *soak) startSystem(ctx context.Context) error {
	if err := k.start(ctx); err != nil {
		return err
	}
	for i, process := range k.members {
		settings := k.memberSettings(i)
		k.memberNodes = append(k.memberNodes, k.newNode(&node{
			process: process, settings: settings, address: settings.listen[0].address,
			maxMemory: maxMemberMemoryKB, isMember: true,
		}))
	}
	for i, process := range k.proxies {
		settings := k.proxySettings(i)
		k.proxyNodes = append(k.proxyNodes, k.newNode(&node{
			process: process, settings: settings, address: settings.listen[0].address, readyAddress: settings.listen[1].address,
			maxMemory: maxProxyMemoryKB,
		}))
	}
	first := &configVersion{config: k.configOf(1), ackedAt: time.Now()}
	k.operators = &operators{soak: k, newest: first, sent: []*configVersion{first}}
	if err := k.replaceConfig(ctx, 0, 1); err != nil {
		return err
	}
	k.operators.change(ctx, 0) // the first version with a marker route
	return k.waitReady(ctx)
}

func (k *soak) newNode(n *node) *node {
	n.soak, n.name, n.incarnation = k, n.settings.name, newIncarnationRecord()
	n.settings.restarted = true
	return n
}

func (k *soak) nodes() []*node { return append(append([]*node{}, k.memberNodes...), k.proxyNodes...) }

// run carries out the schedule under load, waits for the recovery, stops all processes and runs the final checks.
func (k *soak) run(ctx context.Context) (*SoakResult, error) {
	var background sync.WaitGroup
	defer background.Wait()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	background.Go(func() { k.stalls.run(ctx) })
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watchers, clients sync.WaitGroup
	for _, n := range k.nodes() {
		n.supervisor.Go(func() { n.supervise(ctx) })
	}
	for _, n := range k.proxyNodes {
		watchers.Go(func() { k.watchReadiness(watching, n) })
	}
	watchers.Go(func() { k.operators.watchConfig(watching) })
	watchers.Go(func() { k.watchMarkers(watching) })
	watchers.Go(func() { k.watchMemory(watching, abort) })
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	if k.losses != nil {
		k.losses.start(ctx)
	}
	for proxy := range k.proxyNodes {
		for client := range k.Sessions {
			clients.Go(func() { k.runSoakClient(sending, proxy, client) })
		}
	}
	events := faultplan.Draw(k.Seed, faultplan.System{Members: k.size.members, Proxies: k.size.proxies}, k.For)
	k.Logf("%d members, %d proxies, %d sessions at each; %d events in %v", k.size.members, k.size.proxies, k.Sessions, len(events), k.For)
	k.runFaults(ctx, events)
	for _, n := range k.nodes() {
		n.awaitRunning(ctx)
	}
	if k.losses != nil {
		k.losses.close(ctx)
	}
	k.Logf("all faults have ended, waiting until all nodes serve again")
	recovered := k.awaitRecovery(ctx)
	_ = sleep(ctx, quietTime) // an error means that the run is aborted, which is checked below
	stopSending()
	clients.Wait()
	stopWatching()
	watchers.Wait()
	k.checkAtEnd(ctx)
	forEachNode(k.proxyNodes, (*node).close)
	forEachNode(k.memberNodes, (*node).close)
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	k.checkNoLeftovers()
	k.checkUnanswered()
	result := k.collectSoak(len(events))
	result.RecoveredMs = recovered.Milliseconds()
	return result, nil
}

// collectSoak returns the completed result.
func (k *soak) collectSoak(events int) *SoakResult {
	collected := k.collect()
	result := &k.soakResult
	k.mu.Lock()
	defer k.mu.Unlock()
	result.Events = events
	if k.losses != nil {
		result.LostDisks = k.losses.count
	}
	result.Outcomes, result.AcknowledgedWrites = collected.Outcomes, collected.AcknowledgedWrites
	result.ConfigVersions, result.Promotions = collected.ConfigVersions, collected.Promotions
	result.Violations = collected.Violations
	result.StalledMs = k.stalls.total.Milliseconds()
	for _, n := range k.nodes() {
		if n.isMember {
			result.PeakMemberKB = max(result.PeakMemberKB, n.peakKB)
		} else {
			result.PeakProxyKB = max(result.PeakProxyKB, n.peakKB)
		}
	}
	return result
}

func (k *soak) countConfig() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.result.ConfigVersions++
}

func (k *soak) recordPeakMemory(totalKB int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.soakResult.PeakRSSKB = max(k.soakResult.PeakRSSKB, totalKB)
}

// log writes a line to the event log.
func (k *soak) log(format string, args ...any) {
	k.eventsMu.Lock()
	defer k.eventsMu.Unlock()
	fmt.Fprintf(k.events, "%s %7.3f s: %s\n", time.Now().Format("15:04:05.000"), time.Since(k.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
