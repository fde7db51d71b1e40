package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// lossOperator changes the configuration all the time, one change after the other, at members in random order. It repeats a
// change that has no clear answer.
type lossOperator struct {
	losses *lossRun

	mu      sync.Mutex
	newest  int           // generation of the newest acknowledged change
	changes int           // number of acknowledged changes
	slowest time.Duration // longest time until a change was acknowledged in a calm time
}

// changePause is the time from one change to the next.
const changePause = 60 * time.Millisecond

func newLossOperator(r *lossRun) *lossOperator { return &lossOperator{losses: r} }

// run sends changes until ctx ends.
func (o *lossOperator) run(ctx context.Context) {
	r := o.losses
	for generation, base := 1, 0; ctx.Err() == nil; generation++ {
		sentAt := time.Now()
		status := o.send(ctx, generation, base)
		switch {
		case status == http.StatusOK:
			base = generation
			o.acknowledge(generation, sentAt)
		case status != 0:
			r.violate("CONFIG: generation %d on base %d was answered with status %d", generation, base, status)
			return
		}
		_ = sleep(ctx, changePause) // the loop ends with the context
	}
}

// send sends a change to one member after the other and returns the first conclusive status, or 0 if ctx ends before that.
func (o *lossOperator) send(ctx context.Context, generation, base int) int {
	r := o.losses
	body := encodeJSON(r.configOf(generation))
	for ctx.Err() == nil {
		addresses := r.addresses()
		r.randomMu.Lock()
		address := addresses[r.random.IntN(len(addresses))]
		r.randomMu.Unlock()
		status, _, err := postConfig(ctx, address, replacePath, base, body)
		if err == nil && isConclusive(status) {
			return status
		}
		_ = sleep(ctx, changePause) // as above
	}
	return 0
}

func (o *lossOperator) acknowledge(generation int, sentAt time.Time) {
	calmSince := o.losses.calmSince()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = generation
	o.changes++
	if began := latest(sentAt, calmSince); time.Now().After(began) {
		o.slowest = max(o.slowest, time.Since(began))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (o *lossOperator) newestGeneration() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

func (o *lossOperator) summary() (changes int, slowest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changes, o.slowest
}

// awaitChange waits until another change is acknowledged, for the given time at most.
func (o *lossOperator) awaitChange(ctx context.Context, limit time.Duration) bool {
	began, before := time.Now(), o.newestGeneration()
	for o.newestGeneration() == before {
		if time.Since(began) > limit || sleep(ctx, time.Millisecond) != nil {
			return false
		}
	}
	return true
}

// leaderSlot returns the slot of the member that leads, or -1.
func (r *lossRun) leaderSlot(ctx context.Context) int {
	leader := findLeader(ctx, r.addresses())
	return slices.IndexFunc(r.addresses(), func(address string) bool { return leader != nil && leader.runsAt(address) })
}

// checkSeats waits until all seats are filled by processes that run, and the leader replicates to all others. A process has the
// time for catching up for that, counted from its return.
func (r *lossRun) checkSeats(ctx context.Context, after string) {
	missing := []string{"no leader"}
	for began := time.Now(); time.Since(began) < r.catchUp; {
		if missing = unfilledSeats(ctx, r.addresses(), r.budget); len(missing) == 0 || sleep(ctx, retryInterval) != nil {
			return
		}
	}
	r.violate("SEAT: %v after %s: %s", r.catchUp, after, strings.Join(missing, ", "))
	r.logReports(ctx)
}

// checkRecovery waits until each member by itself reads back the newest acknowledged configuration or a later one, and a change
// is acknowledged. It returns how long that took, or 0 if it took too long.
func (r *lossRun) checkRecovery(ctx context.Context) time.Duration {
	began := time.Now()
	waiting, newest := r.addresses(), r.operator.newestGeneration()
	last := map[string]string{}
	for len(waiting) > 0 && time.Since(began) < r.recovery && ctx.Err() == nil {
		waiting = slices.DeleteFunc(waiting, func(address string) bool {
			served, answer := r.readsBack(ctx, address, newest)
			last[address] = answer
			return served
		})
		_ = sleep(ctx, retryInterval) // the loop ends with the context
	}
	recovered := time.Since(began)
	for _, address := range waiting {
		r.violate("CONFIG: %s does not give the configuration %v after all are back: %s", address, roundMs(time.Since(began)), last[address])
	}
	if len(waiting) == 0 && !r.operator.awaitChange(ctx, r.ackMax) {
		r.violate("ACK: no change was acknowledged within %v after the recovery", r.ackMax)
	}
	if _, slowest := r.operator.summary(); slowest > r.ackMax {
		r.violate("ACK: a change took %v while nothing was lost", roundMs(slowest))
	}
	r.checkSenders(ctx)
	if len(waiting) > 0 {
		r.logReports(ctx)
		return 0
	}
	return recovered
}

// checkSenders checks that no member had to discard messages that were sent by another process than their sender.
func (r *lossRun) checkSenders(ctx context.Context) {
	for _, address := range r.addresses() {
		if report := askMember(ctx, address); report != nil && report.Counters[wrongSenderCounter] > 0 {
			r.violate("SENDER: %s discarded %d messages that did not come from their sender", address, report.Counters[wrongSenderCounter])
		}
	}
}

// readsBack reports whether a member answers with a configuration that is at least as new as the given one. It returns the answer.
func (r *lossRun) readsBack(ctx context.Context, address string, newest int) (served bool, answer string) {
	status, text, err := readConfig(ctx, address)
	if err != nil {
		return false, err.Error()
	}
	if status != http.StatusOK {
		return false, fmt.Sprintf("status %d: %s", status, strings.TrimSpace(text))
	}
	var got serviceConfig
	if err := json.Unmarshal([]byte(text), &got); err != nil || got.Generation < newest {
		r.violate("CONFIG: %s returns generation %d, %d was acknowledged before", address, got.Generation, newest)
	} else if text != string(encodeJSON(r.configOf(got.Generation))) {
		r.violate("CONFIG: %s returns something else than generation %d as it was sent", address, got.Generation)
	}
	return true, ""
}

// logReports logs what each member says of itself.
func (r *lossRun) logReports(ctx context.Context) {
	for _, address := range r.addresses() {
		ip, _, _ := net.SplitHostPort(address)
		if report := askMember(ctx, address); report != nil {
			r.log("%s", report)
		} else {
			r.log("%s does not answer", ip)
		}
	}
}
