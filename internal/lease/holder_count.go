package lease

// holderCount counts the valid leases without iterating over all of them: all leases have the same duration, so they expire in the
// order in which they were granted.
type holderCount struct {
	holders int
	active  []grantedLease // leases that may be valid, oldest first
	expired []grantedLease // leases that expired without a renewal, oldest first
}

// grantedLease is a lease at the time it was granted. If it was renewed since, its grant has a later expiry.
type grantedLease struct {
	proxy     string
	grant     *grant
	expiresAt int64
}

// add records a lease that was just granted or renewed.
func (c *holderCount) add(proxy string, granted *grant) {
	newest := len(c.active) - 1
	if newest < 0 || c.active[newest].grant != granted || c.active[newest].expiresAt != granted.expiresAt {
		c.active = append(c.active, grantedLease{proxy, granted, granted.expiresAt})
	}
	if !granted.counted {
		granted.counted = true
		c.holders++
	}
}

// remove excludes a grant from the count.
func (c *holderCount) remove(granted *grant) {
	if granted.counted {
		granted.counted = false
		c.holders--
	}
}

// expire removes the leases that have expired from the count.
func (c *holderCount) expire(nowMs int64) {
	for len(c.active) > 0 && nowMs >= c.active[0].expiresAt {
		oldest := c.active[0]
		c.active = c.active[1:]
		if oldest.expiresAt == oldest.grant.expiresAt {
			c.remove(oldest.grant)
			c.expired = append(c.expired, oldest)
		}
	}
}

// removeLongExpired removes and returns the leases that expired more than retentionMs ago and were not renewed.
func (c *holderCount) removeLongExpired(nowMs int64) (removed []grantedLease) {
	for len(c.expired) > 0 && nowMs > c.expired[0].expiresAt+retentionMs {
		removed = append(removed, c.expired[0])
		c.expired = c.expired[1:]
	}
	return removed
}
