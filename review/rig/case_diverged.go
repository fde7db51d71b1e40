//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["diverged"] = caseDiverged }

// caseDiverged: a primary that is cut off from its replicas crashes and comes back as a replica with commits that nobody received.
// Then the hosts are replaced one after the other, the new primary first. No host may be promoted that lacks an acknowledged commit.
func caseDiverged(l *lab) {
	const (
		cutTime = 7 * time.Second
		gap     = time.Second // between the replacements
	)
	g := l.boot(50, 51)
	acked := map[string]time.Time{}
	store := func(thing, data string) bool {
		a := l.write(50, "dblead", thing, data)
		if a.ok() {
			acked[a.id] = time.Now()
		}
		return a.ok()
	}
	store("basket", "1")
	old := g.hosts["i-a"]
	started := time.Now()
	if l.trouble {
		g.setCut(true, "i-a", "i-b", "i-c")
		for i := range 24 {
			go l.write(50+i%2, "dblead", fmt.Sprintf("tail%d", i), "x")
		}
		time.Sleep(400 * time.Millisecond)
		old.crash()
		for range 40 {
			if store("basket", "2") {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		old.restart()
		time.Sleep(200 * time.Millisecond)
	}
	store("basket", "3")
	first, second := "i-a", "i-b" // replaced in this order: the primary first
	g.mu.Lock()
	if !old.primary {
		first, second = "i-b", "i-a"
		if g.hosts["i-c"].primary {
			first = "i-c"
		}
	}
	g.mu.Unlock()
	for i, id := range []string{first, second} {
		fresh := g.add(fmt.Sprintf("i-n%d", i), l.addr(90+i, l.ports.host), false, nil)
		if l.trouble {
			g.setCut(true, old.id, fresh.id)
		}
		time.Sleep(gap / 2)
		l.rec.add("release: host %s is to be replaced", id)
		g.hosts[id].drain()
		time.Sleep(gap / 2)
	}
	time.Sleep(time.Until(started.Add(cutTime)))
	if l.trouble {
		g.setCut(false, old.id, "i-b", "i-c", "i-n0", "i-n1")
	}
	time.Sleep(2 * time.Second)
	l.checkAcknowledged(g, acked)
}
