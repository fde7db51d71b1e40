//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crash"] = caseCrash }

// caseCrash: the primaries of three services are replaced as planned, one after the other. The first heartbeat of each new host is
// late, and before it the primary that is to be replaced crashes. No acknowledged commit may be missing from the log of the host that
// takes over. With VARIANT=heard the primaries crash as well, but each new host sends its first heartbeat at its start. With
// VARIANT=single there is one client. With TROUBLE=0 nothing crashes and no heartbeat is late.
func caseCrash(l *lab) {
	const (
		services = 3
		rounds   = 22
		gap      = 4300 * time.Millisecond // from one replacement to the next
		crashAt  = time.Second             // from the start of the new host
		late     = 2 * time.Second         // from the start of the new host to its first heartbeat
		checkAt  = 3500 * time.Millisecond
		down     = 3 * time.Second
		drained  = 7200 * time.Millisecond
	)
	clients, pause := 30, 30*time.Millisecond
	if os.Getenv("VARIANT") == "single" {
		clients, pause = 1, time.Millisecond
	}
	isLate := l.trouble && os.Getenv("VARIANT") != "heard"
	l.spread = true
	groups := l.bootServices(services, 50, 51)
	databases := []string{"dblead", "dblead1", "dblead2"}
	acked := make([]map[string]time.Time, services)
	for i, g := range groups {
		acked[i] = map[string]time.Time{}
		g.mu.Lock()
		g.lagMs, g.zoneMs = 8, 1.4
		g.mu.Unlock()
	}
	var mu sync.Mutex
	var current atomic.Int32 // the service that the clients use
	done := make(chan struct{})
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for op := 0; ; op++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				i := current.Load()
				if a := l.write(50+c%2, databases[i], fmt.Sprintf("k%d", c), fmt.Sprintf("op%d", op)); a.ok() {
					mu.Lock()
					acked[i][a.id] = time.Now()
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	lost := 0
	for round := range rounds {
		started := time.Now()
		i := round % services
		g := groups[i]
		current.Store(int32(i))
		old, id := g.primary(), fmt.Sprintf("i-n%02d", round)
		g.mu.Lock()
		g.zones[id] = old.zone
		g.mu.Unlock()
		fresh := g.addSilent(id, l.addr(90+round, l.ports.host), isLate)
		l.rec.add("release of %s: host %s starts in the zone of %s, which it is to replace", g.service, fresh.id, old.id)
		time.Sleep(crashAt)
		if l.trouble {
			old.crash()
		}
		time.Sleep(time.Until(started.Add(late)))
		if isLate {
			g.mu.Lock()
			fresh.silent = false
			g.mu.Unlock()
			l.rec.add("host %s sends its first heartbeat, %v after its start", fresh.id, late)
			fresh.beat()
		}
		time.Sleep(time.Until(started.Add(checkAt)))
		mu.Lock()
		lost = l.countLost(g, acked[i])
		mu.Unlock()
		if lost > 0 {
			break
		}
		time.Sleep(time.Until(started.Add(crashAt + down)))
		if l.trouble {
			old.restart()
		}
		time.AfterFunc(drained, func() { old.leave(true) })
		old.drain()
		time.Sleep(time.Until(started.Add(gap)))
	}
	close(done)
	wg.Wait()
	total, promotions := 0, 0
	for i, g := range groups {
		total += len(acked[i])
		promotions += len(g.promotions)
	}
	l.rec.add("%d commits acknowledged, %d of them lost, %d promotions", total, lost, promotions)
}
