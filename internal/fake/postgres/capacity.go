package postgres

import "time"

// overloadSlack is the number of commands beyond the overload factor that count as random variation.
const overloadSlack = 8

// isCold reports whether a host is still warming up after its last start.
func (h *Host) isCold(now time.Time) bool {
	return !h.startedAt.IsZero() && now.Before(h.startedAt.Add(h.fleet.config.WarmUpTime))
}

// admit reports whether the host's queue has space for another command. It also checks a cold host for overload.
func (h *Host) admit(now time.Time) bool {
	if h.isCold(now) {
		h.checkOverload(now)
	}
	return h.waiting < h.fleet.config.QueueLimit
}

// checkOverload records the arrival of a command at a cold host, and reports a violation if the host is overloaded.
func (h *Host) checkOverload(now time.Time) {
	fleet, config := h.fleet, &h.fleet.config
	h.coldArrivals = append(h.coldArrivals, now)
	first := 0
	for first < len(h.coldArrivals) && h.coldArrivals[first].Before(now.Add(-config.OverloadWindow)) {
		first++
	}
	h.coldArrivals = h.coldArrivals[first:]
	capacity := float64(h.slots(now)) * config.OverloadWindow.Seconds() / config.WorkTime.Seconds()
	if float64(len(h.coldArrivals)) > config.OverloadFactor*capacity+overloadSlack {
		fleet.stats.Overloads++
		fleet.recordViolation("%s: %d commands in %v while cold, capacity %.0f", h.Name, len(h.coldArrivals), config.OverloadWindow, capacity)
		h.coldArrivals = nil
	}
}

// slots returns the number of commands that the host can run concurrently.
func (h *Host) slots(now time.Time) int {
	config := &h.fleet.config
	fraction := 1.0
	if !h.startedAt.IsZero() {
		const noWarmUp = 1e-9 // avoids a division by zero
		warmth := now.Sub(h.startedAt).Seconds() / max(noWarmUp, config.WarmUpTime.Seconds())
		fraction = min(1, config.ColdStartFraction+(1-config.ColdStartFraction)*warmth)
	}
	return max(1, int(fraction*float64(config.Slots)))
}

// occupySlot waits for a free slot, occupies it for the work time and frees it. It unlocks the fleet while it waits and works.
// It returns false if the host stops before the work is done.
func (h *Host) occupySlot(writes bool) bool {
	fleet := h.fleet
	for h.running >= h.slots(time.Now()) && h.up {
		h.waiting++
		h.slotFreed.Wait()
		h.waiting--
	}
	if !h.up {
		return false
	}
	h.running++
	work := fleet.config.WorkTime
	if writes && !h.isPrimary() {
		work = 0
	}
	fleet.mu.Unlock()
	time.Sleep(work)
	fleet.mu.Lock()
	h.running = max(0, h.running-1) // a restart meanwhile has set it to 0
	h.slotFreed.Signal()
	return h.up
}
