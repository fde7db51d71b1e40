//go:build review

package main

import (
	"fmt"
	"time"
)

// write sends single writes one after the other until stop is closed, and reports those that were acknowledged.
func (s *system) write(name string, proxy *proc, acked chan<- string, stop <-chan struct{}) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = s.connect(name, proxy, "desk", dialOptions{}); err != nil {
				s.logf("client %s: %v", name, err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a := c.query(id, fmt.Sprintf("STORE t%d v%d", n, n), 4*time.Second)
		if a.ok() {
			acked <- id
		}
		if a.err != nil {
			c.close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// judgeLost compares the commits that were acknowledged to clients with the log of the host that leads.
func (s *system) judgeLost(acked chan string) (broken bool, err error) {
	close(acked)
	kept := map[string]bool{}
	var last *host
	s.db.set(func() {
		if last = s.db.primary(); last == nil {
			return
		}
		for _, e := range last.log {
			for _, id := range e.writes {
				kept[id] = true
			}
		}
	})
	if last == nil {
		return false, fmt.Errorf("no host leads")
	}
	total, lost := 0, 0
	for id := range acked {
		total++
		if !kept[id] {
			lost++
			s.logf("LOST: %s was acknowledged to its client and is not in the log of host %s", id, last.id)
		}
	}
	s.sayf("%d commits acknowledged to clients, %d of them not in the log of host %s, which leads in the end", total, lost, last.id)
	return lost > 0, nil
}
