package proxy

import "sync"

// asks remember when leases were asked for.
type asks struct {
	mu sync.Mutex
	at map[uint64]int64
}

func (a *asks) put(serial uint64, at int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[serial] = at
	delete(a.at, serial-64)
}

func (a *asks) take(serial uint64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.at[serial]
	delete(a.at, serial)
	return at
}
