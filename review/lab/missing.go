//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// Times of the case, from the crash of the first primary on.
const (
	deafFrom      = 6600 * time.Millisecond // the other replica receives nothing any more
	returnAfter   = 7000 * time.Millisecond // a new host starts at the crashed one's address, with its log
	firstBeatIn   = beat                    // from that start to the new host's first beat
	secondCrashAt = 7900 * time.Millisecond // the second primary crashes
	failoverIn    = 8 * time.Second
)

// Values of VARIANT, which leave out a part of the trouble. The rule holds in both.
const (
	variantReceiving = "receiving" // no replica is deaf
	variantHeard     = "heard"     // the first beat of the new host comes at once
)

// missingReplica has a primary crash and a host return at its address, while the other replica receives nothing, and then the next
// primary crash. Each commit that was acknowledged has to be in the log of the host that leads in the end.
func missingReplica(s *system, trouble bool) (broken bool, err error) {
	variant := os.Getenv("VARIANT")
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
	time.Sleep(time.Second)
	if trouble {
		if err := s.loseTwoPrimaries(variant); err != nil {
			return false, err
		}
	}
	var last *host
	for deadline := time.Now().Add(failoverIn); last == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, fmt.Errorf("no host leads %v after the crash", failoverIn)
		}
		s.db.set(func() { last = s.db.primary() })
	}
	time.Sleep(time.Second)
	close(stop)
	for range writers {
		<-ended
	}
	return s.judgeLost(acked)
}

// loseTwoPrimaries plays the trouble of the case.
func (s *system) loseTwoPrimaries(variant string) error {
	first := s.db.hosts[0]
	crashed := time.Now()
	s.db.crash(first)
	time.Sleep(time.Until(crashed.Add(deafFrom)))
	var second, other *host
	s.db.set(func() {
		second = s.db.primary()
		for _, h := range s.db.hosts {
			if h != first && h != second {
				other = h
			}
		}
	})
	if second == nil {
		return fmt.Errorf("no host leads %v after the first crash", deafFrom)
	}
	if variant != variantReceiving {
		s.logf("host %s receives nothing any more", other.id)
		s.db.set(func() { other.deaf = true })
	}
	time.Sleep(time.Until(crashed.Add(returnAfter)))
	beatIn := firstBeatIn
	if variant == variantHeard {
		beatIn = 0
	}
	if err := s.db.replace(first, beatIn); err != nil {
		return err
	}
	time.Sleep(time.Until(crashed.Add(secondCrashAt)))
	s.db.crash(second)
	return nil
}
