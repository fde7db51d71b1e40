//go:build review

package main

import (
	"fmt"
	"time"
)

// Times after the acknowledgement that the primary is draining.
const (
	cutBefore   = 3500 * time.Millisecond // from the cut to the primary's word that it drains
	addProxyAt  = 3000 * time.Millisecond // a proxy is added
	hostEndsAt  = 11 * time.Second        // the draining host ends
	clientsEnd  = 10500 * time.Millisecond
	queryEvery  = 50 * time.Millisecond
	clientsFrom = 4000 * time.Millisecond
)

// drainingHost has a primary leave in order while its replicas are cut off from the control plane, and adds a proxy meanwhile. No
// machine in touch may send the draining host a statement later than DrainMs after the acknowledgement.
func drainingHost(s *system, trouble bool) (broken bool, err error) {
	fronts, _, err := s.startAll(2, route("r-lead", "desk", "leader", 2000, 0))
	if err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	leaving := s.db.hosts[0]
	if trouble {
		s.db.set(func() { s.db.hosts[1].cut, s.db.hosts[2].cut = true, true })
		s.logf("the replicas are cut off from the control plane")
		time.Sleep(cutBefore)
	}
	late := map[string]int{}
	proxies := map[string]*proc{}
	for _, front := range fronts {
		proxies[front.ip] = front
	}
	s.db.mu.Lock()
	s.db.onRun = func(h *host, id string, state byte, from string) {
		front := proxies[from]
		if h != leaving || h.drainAckedAt.IsZero() || state == 'T' || front == nil {
			return
		}
		if after := time.Since(h.drainAckedAt); after > drainBound && time.Since(front.startedAt) > contact+500*time.Millisecond {
			late[front.name]++
			s.logf("DRAIN: %s sent %s to the draining host %.3f s after the acknowledgement, %.3f s after its own start",
				front.name, id, after.Seconds(), time.Since(front.startedAt).Seconds())
		}
	}
	leaving.draining = true
	s.db.mu.Unlock()
	s.logf("host %s says that it is draining", leaving.id)
	leaving.beatOnce()
	s.db.mu.Lock()
	acked := leaving.drainAckedAt
	s.db.mu.Unlock()
	if acked.IsZero() {
		return false, fmt.Errorf("draining was not acknowledged")
	}
	time.Sleep(time.Until(acked.Add(addProxyAt)))
	added, err := s.start("proxy", 2, false)
	if err != nil {
		return false, err
	}
	s.db.mu.Lock()
	proxies[added.ip] = added
	s.db.mu.Unlock()
	if err := s.awaitReady(added, 3*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(acked.Add(clientsFrom)))
	done := make(chan string, 2)
	for i, front := range []*proc{fronts[0], added} {
		go func() {
			answered, refused := 0, 0
			for n := 0; time.Since(acked) < clientsEnd; n++ {
				c, err := s.connect(fmt.Sprintf("c%d", i), front, "desk", dialOptions{})
				if err != nil {
					s.logf("client c%d: %v", i, err)
					time.Sleep(queryEvery)
					continue
				}
				if a := c.query(fmt.Sprintf("q%d-%d", i, n), "FETCH a", 2500*time.Millisecond); a.ok() {
					answered++
				} else {
					refused++
				}
				c.close()
				time.Sleep(queryEvery)
			}
			done <- fmt.Sprintf("clients at %s: %d answered, %d refused or failed", front.name, answered, refused)
		}()
	}
	for range 2 {
		s.sayf("%s", <-done)
	}
	time.Sleep(time.Until(acked.Add(hostEndsAt)))
	s.db.crash(leaving)
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	for name, count := range late {
		s.sayf("DRAIN: %s, in touch, sent the draining host %d statements later than %v after the acknowledgement", name, count, drainBound)
		broken = true
	}
	return broken, nil
}
