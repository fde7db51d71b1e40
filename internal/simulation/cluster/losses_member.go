package cluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"ferrypitch/internal/simulation/program"
)

// lossMember is a member of a control plane that suffers losses.
type lossMember struct {
	losses   *lossRun
	settings nodeSettings
	process  *program.Process

	mu         sync.Mutex
	isLost     bool      // down or suspended
	returnedAt time.Time // zero if it was never lost
}

func (m *lossMember) address() string { return m.settings.listen[0].address }

// lost records that the member is down or suspended from now on.
func (m *lossMember) lost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isLost = true
}

// returned records that the member runs again.
func (m *lossMember) returned() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isLost, m.returnedAt = false, time.Now()
}

// countsAsLost reports whether the member is down, or returned less than catchUp ago.
func (m *lossMember) countsAsLost(catchUp time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLost || !m.returnedAt.IsZero() && time.Since(m.returnedAt) < catchUp
}

// emptyDisk removes the data of a process that has ended.
func (m *lossMember) emptyDisk() error {
	m.losses.log("%s loses its disk", m.settings.name)
	return os.RemoveAll(m.settings.dataDir)
}

// suspend suspends the process for a span.
func (m *lossMember) suspend(ctx context.Context, span time.Duration) {
	incarnation := m.process.Incarnation()
	incarnation.Signal(syscall.SIGSTOP)
	_ = sleep(ctx, span) // the process is resumed even if ctx has ended
	incarnation.Signal(syscall.SIGCONT)
}

// reload gives a running process other seeds.
func (m *lossMember) reload(seeds []string) error {
	m.settings.seedPeers = seeds
	if err := m.losses.writeSettings(m.settings.name, m.settings.toml()); err != nil {
		return err
	}
	m.process.Incarnation().Signal(syscall.SIGHUP)
	return nil
}

// lossSettings returns the settings of a member at an address.
func (r *lossRun) lossSettings(address int, seeds []string) nodeSettings {
	name := fmt.Sprintf("%s%d", controlProgram, address)
	return nodeSettings{
		name:        name,
		role:        controlProgram,
		ip:          r.network.ip(firstMember + address),
		seedPeers:   seeds,
		countsLoss:  true,
		faultBudget: r.budget,
		dataDir:     filepath.Join(r.dir, "disk-"+name),
		listen:      []listenAddress{{"Control", r.network.address(firstMember+address, controlPort)}},
		platform:    r.platformAddress(),
	}
}

// startMembers starts the first members. At the first start all have the same seeds.
func (r *lossRun) startMembers() error {
	for i := range r.Members {
		settings := r.lossSettings(i, r.seedPeers())
		process, err := r.startProcess(r.binaries[controlProgram], settings)
		if err != nil {
			return err
		}
		settings.restarted = true
		r.slots = append(r.slots, &lossMember{losses: r, settings: settings, process: process})
	}
	return nil
}

// startSuccessor starts a process with an empty disk at an unused address, in the place of a member.
func (r *lossRun) startSuccessor(slot int) error {
	r.lossMu.Lock()
	address := r.nextAddress
	r.nextAddress++
	r.lossMu.Unlock()
	if address >= r.Members+spareAddresses {
		return fmt.Errorf("no address is left for a replaced member")
	}
	settings := r.lossSettings(address, r.drawSeeds())
	settings.restarted = true
	r.log("%s starts with seeds %v", settings.name, settings.seedPeers)
	process, err := r.startProcess(r.binaries[controlProgram], settings)
	if err != nil {
		return err
	}
	r.lossMu.Lock()
	defer r.lossMu.Unlock()
	r.slots[slot] = &lossMember{losses: r, settings: settings, process: process}
	return nil
}

// restartAfter restarts a process that has ended, with seeds of that moment.
func (r *lossRun) restartAfter(ctx context.Context, member *lossMember, down time.Duration) error {
	_ = sleep(ctx, down) // a loss that has begun is carried out
	member.settings.seedPeers = r.drawSeeds()
	r.log("%s starts with seeds %v", member.settings.name, member.settings.seedPeers)
	if err := r.writeSettings(member.settings.name, member.settings.toml()); err != nil {
		return err
	}
	return member.process.Restart()
}

// forget records that a member has ended for good.
func (r *lossRun) forget(member *lossMember) {
	r.log("%s has ended for good", member.settings.name)
	r.lossMu.Lock()
	defer r.lossMu.Unlock()
	r.gone = append(r.gone, goneAddress{member.address(), time.Now()})
}

// drawSeeds returns three addresses of the operator's list: those of the members, and of some that ended a short time ago.
func (r *lossRun) drawSeeds() []string {
	listed := r.addresses()
	r.lossMu.Lock()
	for _, gone := range r.gone {
		if time.Since(gone.since) < seedListLag {
			listed = append(listed, gone.address)
		}
	}
	r.lossMu.Unlock()
	slices.Sort(listed)
	listed = slices.Compact(listed)
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	r.random.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	return listed[:min(len(listed), maxSeedPeers)]
}

// addresses returns the addresses of the current members.
func (r *lossRun) addresses() (all []string) {
	for _, member := range r.members() {
		all = append(all, member.address())
	}
	return all
}

// members returns the current members, in the order of their slots.
func (r *lossRun) members() []*lossMember {
	r.lossMu.Lock()
	defer r.lossMu.Unlock()
	return slices.Clone(r.slots)
}

func (r *lossRun) stopMembers() {
	var stops sync.WaitGroup
	for _, member := range r.members() {
		stops.Go(member.process.Kill)
	}
	stops.Wait()
}
