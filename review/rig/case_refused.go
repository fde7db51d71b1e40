//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["refused"] = caseRefused }

// caseRefused stops the routers of a zone in turn while sessions of a single write each arrive. A write that a router answers with a
// promise that nothing is kept must not be committed.
func caseRefused(l *lab) {
	const services, clients, repeats, rounds = 3, 600, 2, 9
	groups := l.bootServices(services, 50, 51, 52)
	for _, g := range groups {
		for _, h := range g.hosts {
			h.work, h.slots = 8*time.Millisecond, make(chan struct{}, 7)
		}
	}
	entry := l.openEntry(50, 51, 52)
	time.Sleep(1500 * time.Millisecond)
	var mu sync.Mutex
	promised, answered, notSent := map[string]string{}, 0, 0
	done := make(chan struct{})
	var wg sync.WaitGroup
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for op := 0; ; op++ {
				select {
				case <-done:
					return
				default:
				}
				for try := range 1 + repeats {
					router := entry.router(c, op+try)
					s, err := l.connect(router, "dblead"+[]string{"", "1", "2"}[c%services], fmt.Sprintf("u%d", c))
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					a := s.query(fmt.Sprintf("STORE k%d op%d", c, op), 3*time.Second)
					s.close()
					mu.Lock()
					answered++
					if a.promised() {
						promised[a.id] = fmt.Sprintf("%s by router %d", a.code, router)
						if strings.Contains(a.text, "not sent") {
							notSent++
						}
					}
					mu.Unlock()
					if !a.promised() {
						break
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	broken := func() (found bool) {
		mu.Lock()
		defer mu.Unlock()
		for _, g := range groups {
			g.mu.Lock()
			for _, h := range g.hosts {
				for _, e := range h.log {
					if how, ok := promised[e.id]; ok && h.primary { // its own log: what it committed
						found = true
						l.violate("REFUSED: write %s (%s) was answered %s and is committed at %s as %d.%d", e.id, e.writes[0], how, h.id, e.term, e.number)
					}
				}
			}
			g.mu.Unlock()
		}
		return found
	}
	time.Sleep(time.Second)
	for round := range rounds {
		if l.trouble {
			var ends sync.WaitGroup
			for i := range 2 { // the first two routers of three, one after the other
				machine := 50 + (round+i)%3
				ends.Go(func() { l.endInTurn(l.nodes[fmt.Sprintf("proxy-%d", machine)], machine) })
				time.Sleep(1300 * time.Millisecond)
			}
			ends.Wait()
			time.Sleep(3 * time.Second)
		} else {
			time.Sleep(10 * time.Second)
		}
		mu.Lock()
		l.rec.add("round %d: %d writes so far were answered RETRY with the words that they were not sent", round, notSent)
		mu.Unlock()
		if broken() {
			break
		}
	}
	close(done)
	wg.Wait()
	l.rec.add("%d tries answered, %d of them with a promise that nothing is kept", answered, len(promised))
}
