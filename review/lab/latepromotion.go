//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// Times of the case.
const (
	slowCall      = 5 * time.Second        // the platform takes for the first promotion that it is asked for
	secondDrain   = 500 * time.Millisecond // from the first new primary to its own word that it drains
	settleFor     = 3 * time.Second        // after the slow call has taken effect
	promoteWithin = 10 * time.Second
)

// latePromotion replaces the hosts of a service one after the other while the platform is slow with one call: it carries it out only
// after its host was promoted by a later call and replaced again. Each commit that was acknowledged has to be in the log of the host
// that leads in the end.
func latePromotion(s *system, trouble bool) (broken bool, err error) {
	fronts, _, err := s.startAll(2, route("r-lead", "desk", "leader", 2000, 0))
	if err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	acked := make(chan string, 100_000)
	stop, ended := make(chan struct{}), make(chan struct{})
	const writers = 4
	for w := range writers {
		go func() {
			defer func() { ended <- struct{}{} }()
			s.write(fmt.Sprintf("w%d", w), fronts[w%len(fronts)], acked, stop)
		}()
	}
	if err := s.db.join(); err != nil { // the new one starts first
		return false, err
	}
	time.Sleep(2 * time.Second)
	started := time.Now()
	if trouble {
		s.db.set(func() { s.db.slowCall = slowCall })
	}
	first := s.db.hosts[0]
	second, err := s.replacePrimary(first)
	if err != nil {
		return false, err
	}
	if err := s.db.join(); err != nil {
		return false, err
	}
	time.Sleep(secondDrain)
	third, err := s.replacePrimary(second)
	if err != nil {
		return false, err
	}
	if trouble && os.Getenv("VARIANT") != variantReceiving {
		s.logf("host %s receives nothing any more", second.id)
		s.db.set(func() { second.deaf = true })
		time.AfterFunc(slowCall, func() { s.db.set(func() { second.deaf = false }) })
	}
	s.logf("host %s leads after %.1f s", third.id, time.Since(started).Seconds())
	time.Sleep(time.Until(started.Add(slowCall + settleFor)))
	close(stop)
	for range writers {
		<-ended
	}
	return s.judgeLost(acked)
}

// replacePrimary has the primary say that it drains, and waits until another host leads.
func (s *system) replacePrimary(leaving *host) (next *host, err error) {
	s.db.set(func() { leaving.draining = true })
	s.logf("host %s says that it is draining", leaving.id)
	leaving.beatOnce()
	for deadline := time.Now().Add(promoteWithin); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		s.db.set(func() { next = s.db.primary() })
		if next != nil && next != leaving {
			return next, nil
		}
	}
	return nil, fmt.Errorf("no other host leads %v after %s said that it is draining", promoteWithin, leaving.id)
}
