package postgres

import (
	"net"
	"sync"
	"time"
)

// Host is one simulated host. Unexported methods expect the fleet to be locked, unless they say otherwise.
type Host struct {
	Name string
	Set  int64 // the replica set that it belongs to

	fleet          *Fleet
	address        string
	replicationLag time.Duration

	// The fleet's lock protects what follows.
	listener     net.Listener
	conns        map[net.Conn]bool
	up           bool
	startedAt    time.Time // zero: long ago, so that the host is warm
	drainedAt    time.Time // when clients were notified of a drain; zero: it does not drain
	running      int       // commands in a slot
	waiting      int       // commands that wait for one
	slotFreed    *sync.Cond
	coldArrivals []time.Time // arrivals of commands within the overload window, while cold
}

// Address is where the host listens, also after a restart.
func (h *Host) Address() string { return h.address }

// StartedAtMs returns the Unix time of the last start in milliseconds; 0 if the host was never restarted.
func (h *Host) StartedAtMs() int64 {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if h.startedAt.IsZero() {
		return 0
	}
	return h.startedAt.UnixMilli()
}

// Kill ends a host like a crash of its process: its connections are reset, and new ones refused.
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
			tcp.SetLinger(0) // a reset in place of an orderly end
		}
		conn.Close()
	}
	if set := h.replicaSet(); set.primary == h {
		set.primary, set.logEnd = nil, time.Now()
	}
	h.slotFreed.Broadcast()
}

// Restart starts a killed host again, cold, as a replica. Its error is that of listening at the old address.
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

// Promote makes a host the primary of its set, with the full log. A former primary that still runs becomes a replica.
func (h *Host) Promote() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	set := h.replicaSet()
	set.primary, set.logEnd = h, time.Time{}
}

// SetDrained says since when clients know that the host is draining; the zero time ends the drain.
func (h *Host) SetDrained(notifiedAt time.Time) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.drainedAt = notifiedAt
}

func (h *Host) replicaSet() *replicaSet { return h.fleet.replicaSets[h.Set] }

func (h *Host) isPrimary() bool { return h.replicaSet().primary == h }

// appliedUntil returns the time up to which a host has all commits.
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
