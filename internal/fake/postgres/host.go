package postgres

import (
	"net"
	"sync"
	"time"
)

// Host is a simulated host. Callers of unexported methods must hold the fleet's lock unless the method's comment says otherwise.
type Host struct {
	Name string
	Set  int64 // id of the host's replica set

	fleet          *Fleet
	address        string
	replicationLag time.Duration

	// The fleet's lock protects the fields below.
	listener     net.Listener
	conns        map[net.Conn]bool
	up           bool
	startedAt    time.Time // time of the last restart; zero if there was none, so that the host is warm
	drainedAt    time.Time // when clients were notified of a drain; zero if the host does not drain
	running      int       // number of commands in a slot
	waiting      int       // number of commands that wait for a slot
	slotFreed    *sync.Cond
	coldArrivals []time.Time // command arrivals within the overload window while the host is cold
}

// Address returns the listen address of the host. It stays the same after a restart.
func (h *Host) Address() string { return h.address }

// StartedAtMs returns the Unix time of the last restart in milliseconds, or 0 if the host was never restarted.
func (h *Host) StartedAtMs() int64 {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if h.startedAt.IsZero() {
		return 0
	}
	return h.startedAt.UnixMilli()
}

// Kill simulates a crash of the host's process: its connections are reset, and new ones are refused.
func (h *Host) Kill() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.kill()
}

func (h *Host) kill() {
	if !h.up {
		return
	}
	h.up = false
	h.listener.Close()
	for conn := range h.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // sends a reset instead of closing gracefully
		}
		conn.Close()
	}
	if set := h.replicaSet(); set.primary == h {
		set.primary, set.logEnd = nil, time.Now()
	}
	h.slotFreed.Broadcast()
}

// Restart restarts a killed host as a cold replica at its old address. It returns an error if listening fails.
func (h *Host) Restart() error {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.startedAt, h.coldArrivals, h.running, h.waiting = time.Now(), nil, 0, 0
	h.serve(listener)
	return nil
}

// Promote makes a host the primary of its set, with the full log. If a former primary still runs, it becomes a replica.
func (h *Host) Promote() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	set := h.replicaSet()
	set.primary, set.logEnd = h, time.Time{}
}

// SetDrained sets the time at which clients were notified that the host is draining. The zero time ends the drain.
func (h *Host) SetDrained(notifiedAt time.Time) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.drainedAt = notifiedAt
}

func (h *Host) replicaSet() *replicaSet { return h.fleet.replicaSets[h.Set] }

func (h *Host) isPrimary() bool { return h.replicaSet().primary == h }

// appliedUntil returns the time up to which a host has applied all commits.
func (h *Host) appliedUntil(now time.Time) time.Time {
	set := h.replicaSet()
	if !set.logEnd.IsZero() {
		now = set.logEnd
	}
	if set.primary == h {
		return now
	}
	return now.Add(-h.replicationLag)
}
