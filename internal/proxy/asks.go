package proxy

import "sync"

// leaseRequestTimes remember when leases were asked for.
type leaseRequestTimes struct {
	mu     sync.Mutex
	sentAt map[uint64]int64
}

func (a *leaseRequestTimes) record(serial uint64, at int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt[serial] = at
	delete(a.sentAt, serial-64)
}

func (a *leaseRequestTimes) take(serial uint64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.sentAt[serial]
	delete(a.sentAt, serial)
	return at
}
