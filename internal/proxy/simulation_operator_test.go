package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"ferrypitch/internal/config"
)

// operatorEnd is the time after the start of the simulation at which operators stop changing the configuration.
const operatorEnd = 11 * second

// operator simulates two people who change the configuration concurrently, each based on the newest version seen. Some responses
// are lost; a request without a response is retried at another member, and some confirmed requests are repeated later. The
// checks are that a version is confirmed for one change only, that a confirmed request is not rejected when it is repeated, and
// that the final version is not older than any confirmed one.
type operator struct {
	cluster          *controlCluster
	newestVersion    int64            // newest version seen by either person
	confirmed        map[int64]string // bodies of the confirmed versions, by version
	onConfirmed      func()           // called at each confirmation, unless nil
	repeatedRequests int
}

// configRequest is a request to replace the configuration.
type configRequest struct {
	baseVersion int64
	version     int64
	body        string
	confirmed   bool
}

func newOperator(c *controlCluster) *operator {
	o := &operator{cluster: c, confirmed: map[int64]string{}}
	for person := range 2 {
		c.sim.After(c.sim.Between(1500*millisecond, 2500*millisecond), func() { o.sendNextChange(person, 0) })
	}
	return o
}

// injectFaultAfterConfirmation injects the closing fault right after the given number of confirmations. If a member has had a fault
// recently, it waits for a later confirmation, since both faults together would exceed the number that must be tolerated at once.
func (c *controlCluster) injectFaultAfterConfirmation(count int64) {
	c.operator.onConfirmed = func() {
		count--
		if count > 0 || c.closingFaultAt > 0 || c.recentFault() {
			return
		}
		c.closingFaultAt = c.sim.Now
		for _, m := range c.members {
			m.faultEndsAt = c.sim.Now + 6*second
		}
		c.sim.After(c.sim.Between(0, 4*millisecond), c.closingFault)
	}
}

// sendNextChange sends a person's next change.
func (o *operator) sendNextChange(person, turn int) {
	sim := o.cluster.sim
	if sim.Now > sim.StartTime+operatorEnd {
		return
	}
	version := max(1, o.newestVersion) + 1
	limits := fmt.Sprintf(`"Limits":{"TxnIdleMs":2000,"MaxBodyBytes":%d}`, 1000+100*turn+person) // makes each body unique
	body := strings.Replace(o.cluster.configBody(), `"Limits":{"TxnIdleMs":2000}`, limits, 1)
	body = strings.Replace(body, `"Generation":1`, fmt.Sprintf(`"Generation":%d`, version), 1)
	o.send(&configRequest{baseVersion: version - 1, version: version, body: body}, sim.Rand.IntN(clusterSize), 5)
	sim.After(sim.Between(second, 3*second), func() { o.sendNextChange(person, turn+1) })
}

// send sends a request to a member, and retries it at the next one if there is no response.
func (o *operator) send(request *configRequest, seat, retries int) {
	sim := o.cluster.sim
	sim.After(sim.Between(1*millisecond, 4*millisecond), func() {
		answered, m := false, o.cluster.members[seat%clusterSize]
		handle := func(status int, body []byte) {
			if sim.OneIn(4) {
				return // the response is lost
			}
			answered = answered || status < http.StatusInternalServerError
			o.handleAnswer(request, status, body)
		}
		m.Run(m.Incarnation(), func() {
			baseVersion := strconv.FormatInt(request.baseVersion, 10)
			m.server.HandleCall(http.MethodPost, "/Config.Replace", baseVersion, []byte(request.body), handle)
		})
		sim.After(sim.Between(200*millisecond, second), func() {
			switch {
			case !answered && retries > 0:
				o.send(request, seat+1, retries-1)
			case answered && request.confirmed && retries > 0 && sim.OneIn(3): // repeated after later requests
				o.repeatedRequests++
				sim.After(sim.Between(0, 3*second), func() { o.send(request, sim.Rand.IntN(clusterSize), 0) })
			}
		})
	})
}

func (o *operator) handleAnswer(request *configRequest, status int, body []byte) {
	sim, version := o.cluster.sim, request.version
	switch {
	case status == http.StatusOK:
		if other, exists := o.confirmed[version]; exists && other != request.body {
			sim.RecordViolation("ORDER: two are confirmed as version %d", version)
		}
		o.confirmed[version], request.confirmed = request.body, true
		o.newestVersion = max(o.newestVersion, version)
		if o.onConfirmed != nil {
			o.onConfirmed()
		}
	case status < http.StatusInternalServerError && request.confirmed:
		sim.RecordViolation("ORDER: version %d was confirmed, and is rejected when it is repeated: %d %s", version, status, body)
	case status == http.StatusPreconditionFailed:
		o.newestVersion = max(o.newestVersion, version)
	}
}

// checkFinalConfig checks the configuration that is in effect at the end of the simulation.
func (o *operator) checkFinalConfig() {
	sim := o.cluster.sim
	for _, m := range o.cluster.members {
		if !m.Running() || !m.isLeader() {
			continue
		}
		m.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(_ int, body []byte) {
			final, _ := config.PeekGeneration(body)
			for version, confirmed := range o.confirmed {
				if version > final || version == final && confirmed != string(body) {
					sim.RecordViolation("ORDER: version %d was confirmed, and %d is in effect", version, final)
				}
			}
		})
		return
	}
	sim.RecordViolation("no member of the control plane is the leader at the end")
}
