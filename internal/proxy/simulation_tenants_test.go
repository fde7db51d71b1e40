package proxy

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"ferrypitch/internal/config"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

const (
	tenantCount   = 4
	keyChangesEnd = 12 * second // time after the start of the simulation at which keys stop changing
	revokeBoundMs = 2500        // RevokeMs
	downgradeMs   = 250         // DowngradeMs

	// denialGrace is how long a proxy with a valid lease may take to know a new key.
	denialGrace = 2500 * millisecond

	// tenantStaleness is the staleness bound of simulations with tenants. It is long enough that reads without a lease are
	// stopped by the bound on revocations and not by their staleness.
	tenantStaleness = 4 * second
)

// simulatedTenants holds the tenants of a simulation, whose keys are continually added and removed, and what the checks on keys
// record.
type simulatedTenants struct {
	sim              *simulation
	version          int64
	keys             [tenantCount][]string      // keys in the newest configuration, by tenant, the oldest first
	history          map[string]*keyHistory     // history of every key, by key
	effects          map[string][]versionEffect // effects of configuration versions, by processName
	executedUnderKey int                        // statements that hosts ran under a key
	denials          int                        // answers with DENIED
	removed          int                        // number of keys removed so far
}

// keyHistory records the configuration versions that added and removed a key, and their times.
type keyHistory struct {
	tenant             string
	addedIn, removedIn int64 // removedIn is 0 while the key is held
	addedAt, removedAt int64
}

// versionEffect is the time at which a host first saw an effect of a version at a proxy.
type versionEffect struct{ version, seenAt int64 }

// newSimulationWithTenants returns a simulation whose clients authenticate with keys that change.
func newSimulationWithTenants(seed uint64, proxies, clients int) *simulation {
	sim := newSimulation(seed, proxies, clients)
	t := &simulatedTenants{sim: sim, version: 1, history: map[string]*keyHistory{}, effects: map[string][]versionEffect{}}
	sim.tenants = t
	sim.checker.Bounds = map[string]int64{"bound": tenantStaleness, "own": tenantStaleness}
	for _, proxy := range sim.proxies {
		proxy.server.settings.Bounds = tenantBounds()
	}
	for tenant := range tenantCount {
		t.addKey(tenant)
	}
	t.applyConfig()
	sim.After(sim.Between(second, 2*second), t.changeKeys)
	return sim
}

// tenantBounds returns the bounds in the settings of proxies in a simulation with tenants.
func tenantBounds() settings.Bounds {
	return settings.Bounds{RevokeClosed: true, RevokeMs: revokeBoundMs, ConfigApplyMs: 4000, DowngradeMs: downgradeMs}
}

func tenantName(tenant int) string { return fmt.Sprintf("tenant%d", tenant) }

// addKey adds a key to the next configuration.
func (t *simulatedTenants) addKey(tenant int) {
	key := fmt.Sprintf("key%d", len(t.history))
	t.history[key] = &keyHistory{tenant: tenantName(tenant), addedIn: t.version + 1, addedAt: t.sim.Now}
	t.keys[tenant] = append(t.keys[tenant], key)
}

// removeKey removes a tenant's oldest key from the next configuration.
func (t *simulatedTenants) removeKey(tenant int) {
	removed := t.history[t.keys[tenant][0]]
	removed.removedIn, removed.removedAt = t.version+1, t.sim.Now
	t.keys[tenant] = t.keys[tenant][1:]
	t.removed++
}

// changeKeys adds, removes or replaces a key in one configuration version, and schedules the next change.
func (t *simulatedTenants) changeKeys() {
	sim := t.sim
	if sim.Now > sim.StartTime+keyChangesEnd {
		return
	}
	tenant := sim.Rand.IntN(tenantCount)
	if sim.OneIn(2) || len(t.keys[tenant]) == 1 {
		t.addKey(tenant)
	}
	if len(t.keys[tenant]) > 1 && !sim.OneIn(4) {
		t.removeKey(tenant)
	}
	t.applyConfig()
	sim.After(sim.Between(150*millisecond, 900*millisecond), t.changeKeys)
}

func (t *simulatedTenants) applyConfig() {
	t.version++
	tenants := make([]config.Tenant, tenantCount)
	for i := range tenants {
		tenants[i] = config.Tenant{Name: tenantName(i), ApiKeys: t.keys[i]}
	}
	encoded, err := json.Marshal(tenants)
	if err != nil {
		panic(err)
	}
	body := string(withTenants(fmt.Sprint(t.version), string(encoded)))
	for _, staleness := range []string{`"StalenessMs":600`, `"StalenessMs":900`} {
		body = strings.Replace(body, staleness, fmt.Sprintf(`"StalenessMs":%d`, tenantStaleness/millisecond), 1)
	}
	base := t.sim.control.state.Generation
	t.sim.control.apply(statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{BaseVersion: base, Body: []byte(body)}})
}

// chooseKey returns the key for a client's next session: the newest or the oldest one of its tenant, any key that was ever held, or
// one that was never held.
func (t *simulatedTenants) chooseKey(c *client) string {
	sim, held := t.sim, t.keys[c.index%tenantCount]
	switch {
	case sim.OneIn(20):
		return unknownKey
	case sim.OneIn(10):
		return fmt.Sprintf("key%d", sim.Rand.IntN(len(t.history)))
	case sim.OneIn(2):
		return held[0]
	}
	return held[len(held)-1]
}

// checkStatement checks that the client's key allows a host to run a statement on a connection.
func (t *simulatedTenants) checkStatement(conn *simulatedHostConn, owner *client, requestID string) {
	if t == nil || owner.pending.id != requestID {
		return
	}
	sim := t.sim
	key := t.history[owner.key]
	if key == nil {
		sim.RecordViolation("ROUTE: %s runs %s, whose key no configuration ever held", conn.Host.ID, requestID)
		return
	}
	t.executedUnderKey++
	if conn.Identity != key.tenant {
		sim.RecordViolation("UNASKED: %s runs %s of %s as %q", conn.Host.ID, requestID, key.tenant, conn.Identity)
	}
	if key.removedIn > 0 && owner.sentAt > key.removedAt+revokeBoundMs*millisecond {
		sim.RecordViolation("REVOKED: %s runs %s, sent %d ms after its key was revoked", conn.Host.ID, requestID, (owner.sentAt-key.removedAt)/millisecond)
	}
	t.checkNoDowngrade(conn.proxy.processName(), key, owner, requestID)
}

// checkNoDowngrade checks that a proxy does not act on an older version than one whose effect a host has seen.
func (t *simulatedTenants) checkNoDowngrade(process string, key *keyHistory, owner *client, requestID string) {
	effects := t.effects[process]
	for _, effect := range effects {
		if key.removedIn > 0 && key.removedIn <= effect.version && owner.sentAt > effect.seenAt+downgradeMs*millisecond {
			t.sim.RecordViolation("DOWNGRADE: %s sends %s, whose key is not in version %d", process, requestID, effect.version)
		}
	}
	if !slices.ContainsFunc(effects, func(e versionEffect) bool { return e.version >= key.addedIn }) {
		t.effects[process] = append(effects, versionEffect{key.addedIn, t.sim.Now})
	}
}

// checkDenial checks that a client is not denied if its key has been held for longer than denialGrace.
func (t *simulatedTenants) checkDenial(c *client, code wire.Code) {
	if code != wire.CodeDenied {
		return
	}
	t.denials++
	if key := t.history[c.key]; key != nil && key.removedIn == 0 && t.sim.Now > key.addedAt+denialGrace {
		t.sim.RecordViolation("DENIED: %d, whose key has been held for %d ms", c.index, (t.sim.Now-key.addedAt)/millisecond)
	}
}

func (p *proxyProcess) processName() string { return fmt.Sprintf("%s.%d", p.name, p.incarnation) }
