package database

import (
	"context"
	"fmt"
	"net"
)

// leaveDelay is the time from a host's Leave call until its process ends.
const leaveDelay = 100 * Millisecond

// Join starts another host at an address. Its log is empty, and the first host is the primary. The caller holds the scheduler's
// lock.
func (s *Server) Join(address string) error {
	id := fmt.Sprintf("h%d", len(s.Hosts))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("host %s: %w", id, err)
	}
	s.addresses[id] = address
	host := s.Add(id)
	context.AfterFunc(s.ctx, func() { listener.Close() })
	s.tasks.Go(func() { s.accept(listener, host) })
	return nil
}

// Replace shuts a host down gracefully and replaces it: the host announces that it drains, serves for drainTime, announces that
// it leaves, and ends. After downTime, a new host with the same log starts at its address, and sends its first heartbeat after
// unheardTime. If the host drains already, Replace does nothing. The caller holds the scheduler's lock.
func (s *Server) Replace(host *Host, drainTime, downTime, unheardTime int64) {
	if host.Draining {
		return
	}
	s.Logf("%s drains, primary %v", host.ID, host.IsPrimary)
	host.Draining = true
	host.sendHeartbeat()
	s.After(drainTime, func() {
		path := "/Instances.Leave/" + host.ID
		s.tasks.Go(func() { s.callControlPlane(path, nil) })
	})
	s.After(drainTime+leaveDelay, func() {
		host.Crash(false, downTime)
		s.replacedHosts++
		left := host.ID
		host.ID = fmt.Sprintf("%s.%d", left, s.replacedHosts)
		host.Draining, host.Unheard = false, true
		s.After(downTime+unheardTime, func() {
			host.Unheard = false
			host.sendHeartbeat()
		})
		s.addresses[host.ID] = s.addresses[left]
		s.Logf("%s replaces %s", host.ID, left)
	})
}
