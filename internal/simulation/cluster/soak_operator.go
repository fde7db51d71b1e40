package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"
)

const (
	// configApplyTime is how long after its acknowledgement a configuration may take to be applied by connected proxies.
	configApplyTime = 3 * time.Second
	// maxInvalidTries limits the attempts to get a conclusive answer to an invalid configuration.
	maxInvalidTries = 10
)

// operators sends the configuration changes of a soak test, one at a time except in races, and records the answers.
type operators struct {
	soak *soak

	changeMu sync.Mutex // held while a change is in progress

	mu     sync.Mutex       // protects the fields below
	newest *configVersion   // the newest acknowledged version
	sent   []*configVersion // all valid versions that were sent, in order; each may have been applied
}

// configVersion is a valid configuration change.
type configVersion struct {
	config      serviceConfig
	isAmendment bool
	body        []byte // of the request
	base        int
	rejected    bool
	ackedAt     time.Time
}

// change replaces or amends the newest configuration, and waits for a conclusive answer.
func (o *operators) change(ctx context.Context, variant int) {
	o.changeMu.Lock()
	defer o.changeMu.Unlock()
	next := o.draft(variant%2 == 1)
	if status := o.submit(ctx, next, variant); status != http.StatusOK && ctx.Err() == nil {
		o.soak.violate("CONFIG: generation %d on the newest base %d was answered with status %d", next.config.Generation, next.base, status)
	}
}

// race sends two changes with the same base and generation concurrently, and checks that exactly one of them is accepted.
func (o *operators) race(ctx context.Context) {
	o.changeMu.Lock()
	defer o.changeMu.Unlock()
	drafts := []*configVersion{o.draft(true), o.draft(false)}
	statuses := make([]int, len(drafts))
	var calls sync.WaitGroup
	for i, draft := range drafts {
		calls.Go(func() { statuses[i] = o.submit(ctx, draft, i) })
	}
	calls.Wait()
	won := 0
	for _, status := range statuses {
		if status == http.StatusOK {
			won++
		}
	}
	if won != 1 && ctx.Err() == nil {
		o.soak.violate("CONFIG: two changes on base %d were answered with statuses %v", drafts[0].base, statuses)
	}
}

// draft returns a change of the newest configuration. It adds a marker route named after the new generation, and removes the
// marker route of the version before.
func (o *operators) draft(isAmendment bool) *configVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	base := o.newest.config
	next := &configVersion{isAmendment: isAmendment, base: base.Generation, config: o.soak.configOf(base.Generation + 2)}
	marker := markerRoute(next.config)
	if isAmendment {
		next.config.Routes = append(slices.Clone(base.Routes[:len(base.Routes)-1]), marker)
		next.config.Routes[0] = o.soak.configOf(next.config.Generation).Routes[0]
		next.body = encodeJSON(amendBody{
			Generation: next.config.Generation,
			Upsert:     routeItems{Routes: []routeConfig{next.config.Routes[0], marker}},
			Remove:     routeNames{Routes: []string{markerRoute(base).Name}},
		})
		return next
	}
	next.config.Routes = append(next.config.Routes, marker)
	next.body = encodeJSON(next.config)
	return next
}

// amendBody is the body of an Amend call in the JSON format of the control plane.
type amendBody struct {
	Generation int
	Upsert     routeItems
	Remove     routeNames
}

type (
	routeItems struct{ Routes []routeConfig }
	routeNames struct{ Routes []string }
)

// markerRoute returns the route that marks a version. It is the last route, and lets a client find out whether a proxy has
// applied the version.
func markerRoute(config serviceConfig) routeConfig {
	marker := config.Routes[0]
	marker.Name, marker.Host = markerHost(config.Generation), markerHost(config.Generation)
	return marker
}

func markerHost(generation int) string { return fmt.Sprintf("version%d", generation) }

func encodeJSON(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // strings and integers can always be encoded as JSON
	}
	return body
}

// submit sends a change to the members in turn until an answer is conclusive or ctx ends, and records the outcome. first is
// the member to start with; the changes of a race start at different members.
func (o *operators) submit(ctx context.Context, next *configVersion, first int) (status int) {
	o.mu.Lock()
	o.sent = append(o.sent, next)
	o.mu.Unlock()
	path := replacePath
	if next.isAmendment {
		path = amendPath
	}
	status = o.callUntilConclusive(ctx, path, next.base, next.body, first, -1)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case status == http.StatusOK:
		next.ackedAt = time.Now()
		if next.config.Generation > o.newest.config.Generation {
			o.newest = next
		}
		o.soak.countConfig()
	case status != 0:
		next.rejected = true
	}
	return status
}

// callUntilConclusive sends a change to the members in turn and returns the status of the first conclusive answer, or 0 if
// there is none within the given number of tries or before ctx ends. A negative number of tries means no limit.
func (o *operators) callUntilConclusive(ctx context.Context, path string, base int, body []byte, first, tries int) (status int) {
	members := o.soak.memberAddresses()
	for try := 0; try != tries && ctx.Err() == nil; try++ {
		status, text, err := postConfig(ctx, members[(first+try)%len(members)], path, base, body)
		if err == nil && isConclusive(status) {
			if status != http.StatusOK {
				o.soak.log("%s on base %d: %d %.200s", path, base, status, text)
			}
			return status
		}
		_ = sleep(ctx, retryInterval) // the loop ends with the context
	}
	return 0
}

// isConclusive reports whether a status says for certain that a change was accepted or that it was rejected.
func isConclusive(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// sendInvalid sends an invalid change and checks that it is not accepted.
func (o *operators) sendInvalid(ctx context.Context, variant int) {
	o.changeMu.Lock()
	defer o.changeMu.Unlock()
	fault := invalidations[variant%len(invalidations)]
	next := o.draft(false)
	body, base := fault.corrupt(next.config), next.base
	if fault.staleBase {
		base--
	}
	status := o.callUntilConclusive(ctx, replacePath, base, body, variant, maxInvalidTries)
	if status == http.StatusOK {
		o.soak.violate("CONFIG: an invalid configuration was accepted: %s", fault.name)
	}
}

// invalidation is a way to make a valid configuration invalid.
type invalidation struct {
	name      string
	staleBase bool
	corrupt   func(serviceConfig) []byte
}

var invalidations = []invalidation{
	{name: "a truncated body", corrupt: func(c serviceConfig) []byte { return encodeJSON(c)[:len(encodeJSON(c))/2] }},
	{name: "an unknown service", corrupt: func(c serviceConfig) []byte { c.Routes[1].Service = "nowhere"; return encodeJSON(c) }},
	{name: "two routes with the same host and path", corrupt: func(c serviceConfig) []byte { c.Routes[1].Host = c.Routes[0].Host; return encodeJSON(c) }},
	{name: "a deadline of 0", corrupt: func(c serviceConfig) []byte { c.Routes[2].DeadlineMs = 0; return encodeJSON(c) }},
	{name: "an older generation", corrupt: func(c serviceConfig) []byte { c.Generation -= 2; return encodeJSON(c) }},
	{name: "a stale base version", staleBase: true, corrupt: func(c serviceConfig) []byte { return encodeJSON(c) }},
	{name: "two tenants with the same key", corrupt: func(c serviceConfig) []byte {
		return encodeJSON(tenantConfig{c, []tenantItem{{"t1", []string{"k1"}}, {"t2", []string{"k2", "k1"}}}})
	}},
}

// tenantConfig is a configuration with tenants.
type tenantConfig struct {
	serviceConfig
	Tenants []tenantItem
}

type tenantItem struct {
	Name    string
	ApiKeys []string //nolint:revive,staticcheck // the name in the configuration's JSON format
}

// watchConfig reads and checks the configuration at the members in turn until ctx ends.
func (o *operators) watchConfig(ctx context.Context) {
	members := o.soak.memberAddresses()
	for i := 0; sleep(ctx, configReadInterval) == nil; i++ {
		o.checkRead(ctx, members[i%len(members)])
	}
}

// checkRead reads the configuration at a member and checks it. It returns false if the member does not answer.
func (o *operators) checkRead(ctx context.Context, member string) bool {
	o.mu.Lock()
	newest := o.newest.config.Generation
	o.mu.Unlock()
	status, text, err := readConfig(ctx, member)
	if err != nil || status != http.StatusOK {
		return false
	}
	var got serviceConfig
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		o.soak.violate("CONFIG: %s returns a malformed configuration: %v", member, err)
		return true
	}
	if got.Generation < newest {
		o.soak.violate("CONFIG: %s returns generation %d, %d was acknowledged before", member, got.Generation, newest)
	}
	if found := o.findVersion(got); found == nil {
		o.soak.violate("CONFIG: %s returns a configuration that was never sent: %.300s", member, text)
	} else if found.rejected {
		o.soak.violate("CONFIG: %s returns generation %d, which was rejected", member, got.Generation)
	}
	return true
}

// findVersion returns the last sent version with the given content, or nil if there is none.
func (o *operators) findVersion(config serviceConfig) *configVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, sent := range slices.Backward(o.sent) {
		if sent.config.Generation == config.Generation && reflect.DeepEqual(withSortedRoutes(sent.config), withSortedRoutes(config)) {
			return sent
		}
	}
	return nil
}

// withSortedRoutes returns the configuration with its routes sorted by name.
func withSortedRoutes(config serviceConfig) serviceConfig {
	config.Routes = slices.SortedFunc(slices.Values(config.Routes), func(a, b routeConfig) int { return cmp.Compare(a.Name, b.Name) })
	return config
}

// newestVersion returns the newest version that was acknowledged.
func (o *operators) newestVersion() configVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return *o.newest
}
