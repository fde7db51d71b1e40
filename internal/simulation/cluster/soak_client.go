package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"ferrypitch/internal/simulation/checker"
)

// behaviour is the way in which a client uses its sessions.
type behaviour int

const (
	longSessions      behaviour = iota // uses each session until it ends, as when the proxy stops
	shortSessions                      // runs one operation in each session
	pipelinedSessions                  // often sends several statements before it reads the first answer
	abandonedSessions                  // uses long sessions and closes them within a transaction or before an answer
)

// behaviours lists the behaviours that the clients of a proxy have in turn. Most sessions are long.
var behaviours = []behaviour{longSessions, shortSessions, longSessions, pipelinedSessions, longSessions, abandonedSessions}

const (
	maxSoakPause  = 300 * time.Millisecond // between the due times of a client's operations
	maxBacklog    = time.Second            // limits how far a client's due time may lag behind the current time
	pipelineDepth = 4
	abandonOneIn  = 8
	lossSlack     = 200 * time.Millisecond // a client may send a statement this long before it detects that the connection has ended
	maxUnanswered = 10000                  // unanswered statements kept for the final check
)

// unanswered is a statement whose connection ended before the answer.
type unanswered struct {
	node        *node
	incarnation *incarnationRecord
	sent        sentStatement
	endedAt     time.Time
	cause       error
}

// runSoakClient runs successive sessions until ctx ends: the first at its own proxy, and later ones at random ready proxies.
func (k *soak) runSoakClient(ctx context.Context, proxy, client int) {
	random := rand.New(rand.NewPCG(k.Seed, uint64(proxy*maxClients+client)))
	usage := behaviours[client%len(behaviours)]
	due := time.Now()
	for number := 0; ctx.Err() == nil; number++ {
		target := k.proxyNodes[(proxy+number)%len(k.proxyNodes)]
		if number > 0 {
			target = k.chooseProxy(random, target)
		}
		s := &session{
			cluster: k.cluster,
			kind:    routeKinds[(client+proxy)%len(routeKinds)],
			name:    fmt.Sprintf("r%dc%dl%d", proxy, client, number),
			random:  random,
		}
		if s.open(ctx, target.address) {
			incarnation := target.currentIncarnation()
			s.onUnanswered = func(sent sentStatement, cause error) {
				k.recordUnanswered(unanswered{target, incarnation, sent, time.Now(), cause})
			}
			s.runBehaviour(ctx, usage, &due)
			s.conn.Close()
		}
		_ = sleep(ctx, reconnectDelay) // the loop ends with the context
	}
}

// chooseProxy returns a random proxy whose last readiness check succeeded. If it finds none in a few tries, it returns the
// proposed one.
func (k *soak) chooseProxy(random *rand.Rand, proposed *node) *node {
	for range len(k.proxyNodes) {
		candidate := k.proxyNodes[random.IntN(len(k.proxyNodes))]
		candidate.mu.Lock()
		ready := candidate.ready
		candidate.mu.Unlock()
		if ready {
			return candidate
		}
	}
	return proposed
}

// runBehaviour runs operations until the session or ctx ends. Their due times don't depend on how long earlier operations took.
func (s *session) runBehaviour(ctx context.Context, usage behaviour, due *time.Time) {
	for ctx.Err() == nil {
		*due = due.Add(time.Duration(s.random.Int64N(int64(maxSoakPause))))
		if earliest := time.Now().Add(-maxBacklog); due.Before(earliest) {
			*due = earliest
		}
		if sleep(ctx, time.Until(*due)) != nil {
			return
		}
		switch {
		case usage == pipelinedSessions && s.random.IntN(2) == 0:
			if !s.pipeline() {
				return
			}
		case usage == abandonedSessions && s.random.IntN(abandonOneIn) == 0:
			s.abandon()
			return
		case !s.runOperation() || usage == shortSessions:
			return
		}
	}
}

// pipeline sends several reads before it reads the first answer. It returns false if the session has ended.
func (s *session) pipeline() bool {
	var sent []sentStatement
	for range pipelineDepth {
		statement, ok := s.send(s.fetchText(), s.cluster.now())
		if !ok {
			return false
		}
		sent = append(sent, statement)
	}
	for _, statement := range sent {
		response, ok := s.receive(statement)
		if !s.count(operationRead, response.Code, ok) {
			return false
		}
	}
	return true
}

// abandon leaves the session to be closed within a transaction, which must not be committed, or before a read is answered.
func (s *session) abandon() {
	if s.kind == kindBounded {
		s.send(s.fetchText(), s.cluster.now())
		return
	}
	beganAt := s.cluster.now()
	if response, ok := s.query("BEGIN", beganAt); !ok || response.Code != "" {
		return
	}
	data := s.attemptWrite()
	s.send("STORE t3 "+data, beganAt)
	s.cluster.withChecker(func(checker *checker.Checker) { checker.ReportNothingKept([]string{data}) })
}

func (k *soak) recordUnanswered(u unanswered) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.soakResult.Unanswered++
	if len(k.unanswered) < maxUnanswered {
		k.unanswered = append(k.unanswered, u)
	}
}

// checkUnanswered checks the statements without an answer. A process that was not killed or frozen must answer every statement
// that it had time to receive, and every statement that a host has run.
func (k *soak) checkUnanswered() {
	k.mu.Lock()
	all := k.unanswered
	k.mu.Unlock()
	for _, u := range all {
		k.mu.Lock()
		executed := k.executed[u.sent.id]
		k.mu.Unlock()
		waited := u.endedAt.Sub(u.sent.at)
		slack := lossSlack + k.stalls.between(u.sent.at, u.endedAt)
		if !u.node.ranUndisturbed(u.incarnation, u.sent.at.Add(-reconnectTime)) || waited <= slack && !executed {
			continue
		}
		state := "runs"
		if stopped := u.incarnation.terminatedAt; !stopped.IsZero() && stopped.Before(u.endedAt) {
			state = fmt.Sprintf("was stopped %d ms before", u.endedAt.Sub(stopped).Milliseconds())
		}
		k.violate("LOST: %s at %s, which %s, got no answer in %d ms, executed %v: %s (connection ended at %.3f s)", u.sent.id, u.node.name, state,
			waited.Milliseconds(), executed, describeDisconnect(u.cause), u.endedAt.Sub(k.startedAt).Seconds())
	}
}

// describeDisconnect describes why a connection ended.
func describeDisconnect(cause error) string {
	var timeout net.Error
	if errors.As(cause, &timeout) && timeout.Timeout() {
		return "silence"
	}
	return cause.Error()
}
