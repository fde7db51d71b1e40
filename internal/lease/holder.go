package lease

// holderValidityMs is how long a proxy acts under a lease, in milliseconds: a tenth less than the control plane counts, so
// that the proxy's clock may run slower than the control plane's by as much. The leader lease of the control plane's log
// tolerates the same drift.
const holderValidityMs = GrantMs * 9 / 10

// Holder is a proxy's side of its lease. The zero value holds none.
type Holder struct {
	expiresAt int64
}

// Renew takes in a lease that was granted to a request sent at askedAtMs. It never shortens the lease.
func (h *Holder) Renew(askedAtMs int64) { h.expiresAt = max(h.expiresAt, askedAtMs+holderValidityMs) }

// ExpiresAt returns when the lease ends, in milliseconds of the proxy's clock. Zero: none was held.
func (h *Holder) ExpiresAt() int64 { return h.expiresAt }

// Valid says whether the proxy may act on what it has applied of the log.
func (h *Holder) Valid(nowMs int64) bool { return nowMs < h.expiresAt }
