package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/zeebo/blake3"
)

// partitionOperator makes updates in sequence, retrying each until its outcome is known, and reads the configuration in between.
type partitionOperator struct {
	cluster      *partitionCluster
	number       int
	updates      int
	knownVersion int64
}

func (o *partitionOperator) next() {
	if o.cluster.operatorsStopped {
		return
	}
	o.read(func() {
		o.updates++
		generation := o.knownVersion + o.cluster.Between(1, 3)
		body := fmt.Sprintf(`{"Generation":%d,"Routes":[{"Name":"o%d.%d","Host":"h","PathPrefix":"/","Kind":"leader","DeadlineMs":500,"TargetMs":100,"Priority":1,"Service":"db","MaxTries":1}],"Services":[{"Name":"db","MaxConns":5}]}`, generation, o.number, o.updates)
		o.update(o.knownVersion, []byte(body), 0)
	})
}

// call makes a call to a random member. status is 0 if there is no response within 1 s.
func (o *partitionOperator) call(method, path, base string, body []byte, done func(status int, response []byte)) {
	c := o.cluster
	calledAt, finished := c.Now, false
	finish := func(status int, response []byte) {
		if !finished {
			finished = true
			done(status, response)
		}
	}
	m := c.members[c.Rand.IntN(len(c.members))]
	if m.Up() {
		m.call(method, path, base, body, func(status int, response []byte) {
			c.checkResponse(path, base, body, calledAt, status, response)
			if c.faultsDisabled || !c.OneIn(8) { // otherwise the response is lost
				finish(status, response)
			}
		})
	} else {
		c.After(2, func() { finish(0, nil) })
	}
	c.After(1000, func() { finish(0, nil) })
}

func (o *partitionOperator) read(done func()) {
	o.call(http.MethodGet, configRead.path, "", nil, func(status int, response []byte) {
		switch status {
		case http.StatusOK:
			var config struct{ Generation int64 }
			if json.Unmarshal(response, &config) == nil {
				o.knownVersion = config.Generation
			}
			done()
		case http.StatusNotFound:
			o.knownVersion = 0
			done()
		default:
			o.cluster.After(o.cluster.Between(20, 200), func() { o.read(done) })
		}
	})
}

func (o *partitionOperator) update(base int64, body []byte, attempt int) {
	c := o.cluster
	o.call(http.MethodPost, configReplace.path, fmt.Sprint(base), body, func(status int, _ []byte) {
		switch status {
		case http.StatusOK, http.StatusPreconditionFailed, http.StatusBadRequest:
			c.After(c.Between(20, 700), o.next)
		default:
			c.After(c.Between(20, 100+50*int64(min(attempt, 8))), func() { o.update(base, body, attempt+1) })
		}
	})
}

// checkResponse checks that a response was correct at some time during its call, whether it reaches the caller or not.
func (c *partitionCluster) checkResponse(path, base string, body []byte, calledAt int64, status int, response []byte) {
	switch {
	case status == http.StatusServiceUnavailable:
	case path == configRead.path:
		c.checkRead(calledAt, status, response)
	case status == http.StatusOK:
		position := c.indexOf(digestOf(body))
		if position < 0 {
			c.RecordViolation("LOST: an update is confirmed and was not applied")
			return
		}
		c.confirmed++
		c.acknowledge(position)
	case status == http.StatusPreconditionFailed:
		c.checkConflict(base, body, calledAt)
	default:
		c.RecordViolation("REJECTED: %d to %s: %s", status, path, response)
	}
}

func (c *partitionCluster) checkRead(calledAt int64, status int, response []byte) {
	newest := c.newestAcknowledged(calledAt)
	switch status {
	case http.StatusNotFound:
		if newest > 0 {
			c.RecordViolation("STALE: a read finds nothing, after %d was acknowledged", c.applied[newest].generation)
		}
	case http.StatusOK:
		c.reads++
		position := c.indexOf(digestOf(response))
		if position < 0 || position < newest {
			c.RecordViolation("STALE: a read at %d returns number %d, %d was acknowledged", calledAt-c.StartTime, position, newest)
			return
		}
		c.acknowledge(position)
	default:
		c.RecordViolation("REJECTED: %d to a read: %s", status, response)
	}
}

func (c *partitionCluster) checkConflict(base string, body []byte, calledAt int64) {
	c.conflicts++
	position := c.indexOf(digestOf(body))
	if position > 0 && c.applied[position].appliedAt <= calledAt {
		c.RecordViolation("REJECTED: an update that was applied")
	}
	basePosition := slices.IndexFunc(c.applied, func(version appliedVersion) bool { return fmt.Sprint(version.generation) == base })
	if basePosition < 0 || basePosition == len(c.applied)-1 { // its base was the current version during the whole call
		c.RecordViolation("REJECTED: 412 to an update of %s, which is the newest", base)
	}
}

// digestOf returns the digest by which the state machine identifies the body of an update.
func digestOf(body []byte) (digest [16]byte) {
	hash := blake3.New()
	hash.Write(body)
	copy(digest[:], hash.Sum(nil))
	return digest
}
