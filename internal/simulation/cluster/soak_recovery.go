package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const recoverInterval = 100 * time.Millisecond

// awaitRecovery waits until every member returns the newest configuration, and every proxy is ready and serves all route kinds.
// It returns how long this took. Exceeding recoveryTime, extended by stalls, is a violation.
func (k *soak) awaitRecovery(ctx context.Context) time.Duration {
	began := time.Now()
	waiting := k.nodes()
	for {
		waiting = k.unavailableNodes(ctx, waiting)
		if len(waiting) == 0 || ctx.Err() != nil {
			break
		}
		if time.Since(began) > recoveryTime+k.stalls.since(began) {
			for _, n := range waiting {
				k.violate("RECOVER: %s does not serve %v after the last fault", n.name, roundMs(time.Since(began)))
			}
			break
		}
		_ = sleep(ctx, recoverInterval) // the loop ends with the context
	}
	return time.Since(began)
}

// unavailableNodes checks nodes concurrently and returns those that don't serve.
func (k *soak) unavailableNodes(ctx context.Context, nodes []*node) (down []*node) {
	var mu sync.Mutex
	client := &http.Client{Timeout: readinessTimeout}
	forEachNode(nodes, func(n *node) {
		serves := false
		if n.isMember {
			serves = k.operators.checkRead(ctx, n.address)
		} else {
			serves = isReady(ctx, client, n.readyAddress) && k.servesAllKinds(ctx, n)
		}
		if !serves {
			mu.Lock()
			defer mu.Unlock()
			down = append(down, n)
		}
	})
	return down
}

// checkAtEnd checks, without load and faults, that all nodes serve and that each proxy has the newest configuration.
func (k *soak) checkAtEnd(ctx context.Context) {
	_ = sleep(ctx, configApplyTime-quietTime) // an error means that the run is aborted
	k.awaitRecovery(ctx)
	forEachNode(k.proxyNodes, func(n *node) { k.checkMarkers(ctx, n) })
}

// servesAllKinds reports whether a proxy serves a read on each kind of route, and a write on each kind that accepts writes.
func (k *soak) servesAllKinds(ctx context.Context, n *node) bool {
	for _, kind := range routeKinds {
		if !k.serves(ctx, n, kind) {
			return false
		}
	}
	return true
}

func (k *soak) serves(ctx context.Context, n *node, kind string) bool {
	number := k.probes.Add(1)
	s := &session{
		cluster: k.cluster,
		kind:    kind,
		name:    fmt.Sprintf("probe%d", number),
		random:  rand.New(rand.NewPCG(k.Seed, uint64(number))),
	}
	if !s.open(ctx, n.address) {
		return false
	}
	defer s.conn.Close()
	response, ok := s.query(s.fetchText(), k.now())
	if !ok || response.Code != "" || kind == kindBounded {
		return ok && response.Code == ""
	}
	code, ok := s.store()
	return ok && code == ""
}
