//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["unheard"] = caseUnheard }

// caseUnheard: primaries are replaced as planned, one after the other, and the first heartbeat of each new host is late. No acknowledged
// commit may be missing from the log of a host that takes over. With VARIANT=deaf there is one replacement, and the host that takes
// over receives nothing for a second while its promotion is under way.
func caseUnheard(l *lab) {
	const (
		clients  = 30
		releases = 18
		late     = 2 * time.Second // from the start of a new host to its first heartbeat
		drained  = 7200 * time.Millisecond
	)
	isDeaf := os.Getenv("VARIANT") == "deaf"
	g := l.boot(50, 51)
	g.mu.Lock()
	g.lagMs = 8
	g.mu.Unlock()
	var mu sync.Mutex
	acked := map[string]time.Time{}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for op := 0; ; op++ {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if a := l.write(50+c%2, "dblead", fmt.Sprintf("k%d", c), fmt.Sprintf("op%d", op)); a.ok() {
					mu.Lock()
					acked[a.id] = time.Now()
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	lost := 0
	for release := range releases {
		old := g.primary()
		// The new host starts first, the old one drains.
		started := time.Now()
		fresh := g.addSilent(fmt.Sprintf("i-n%02d", release), l.addr(90+release, l.ports.host), l.trouble)
		time.Sleep(500 * time.Millisecond)
		old.drain()
		time.AfterFunc(drained, func() { old.leave(true) })
		if l.trouble && isDeaf {
			time.Sleep(150 * time.Millisecond)
			g.setDeaf(true)
			time.Sleep(850 * time.Millisecond)
			g.setDeaf(false)
		}
		time.Sleep(time.Until(started.Add(late)))
		if l.trouble {
			g.mu.Lock()
			fresh.silent = false
			g.mu.Unlock()
			l.rec.add("host %s sends its first heartbeat, %v after its start", fresh.id, late)
			fresh.beat()
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		lost = l.countLost(g, acked)
		mu.Unlock()
		if lost > 0 || isDeaf {
			break
		}
	}
	close(done)
	wg.Wait()
	l.rec.add("%d commits acknowledged, %d of them lost, %d promotions", len(acked), lost, len(g.promotions))
}

func (g *group) primary() *host {
	for range 100 {
		g.mu.Lock()
		for _, h := range g.hosts {
			if h.up && h.primary && h.term == g.maxTerm {
				g.mu.Unlock()
				return h
			}
		}
		g.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	fatal("no primary")
	return nil
}

// setDeaf lets the first replica by id, which takes over, receive nothing or receive again.
func (g *group) setDeaf(deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.hosts["i-b"]
	h.deaf = deaf
	g.rec.add("host %s receives nothing: %v", h.id, deaf)
}

// countLost reports the acknowledged commits that the primary's log lacks.
func (l *lab) countLost(g *group, acked map[string]time.Time) (lost int) {
	p := g.primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	has := map[string]bool{}
	for _, e := range p.log {
		has[e.id] = true
	}
	before := time.Now().Add(-500 * time.Millisecond)
	for id, at := range acked {
		if at.Before(before) && !has[id] {
			lost++
			l.violate("LOST: commit %s was acknowledged and is not in the log of %s, promoted to term %d", id, p.id, p.term)
		}
	}
	return lost
}
