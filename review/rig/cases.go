//go:build review

package main

import (
	"time"
)

var cases = map[string]func(*lab){}

// write sends a STORE in a session of its own and returns the answer.
func (l *lab) write(machine int, database, thing, data string) answer {
	s, err := l.connect(machine, database, "u-"+thing)
	if err != nil {
		l.rec.add("client u-%s: %v", thing, err)
		return answer{code: "cut"}
	}
	defer s.close()
	return s.query("STORE "+thing+" "+data, 3*time.Second)
}

// checkAcknowledged reports acknowledged commits that a later promoted host lacks.
func (l *lab) checkAcknowledged(g *group, acked map[string]time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.promotions {
		has := map[string]bool{}
		for _, e := range p.log {
			has[e.id] = true
		}
		for id, at := range acked {
			if at.Before(p.at) && !has[id] {
				l.violate("LOST: commit %s was acknowledged and is not in the log of %s, promoted to term %d", id, p.host, p.term)
			}
		}
	}
}
