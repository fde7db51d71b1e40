package lease

// holderValidityMs is how long a proxy considers its lease valid, in milliseconds. It is a tenth shorter than DurationMs, so that
// the proxy's clock may run slower than the control plane's by that fraction. The leader lease of the control plane's
// consensus tolerates the same drift.
const holderValidityMs = DurationMs * 9 / 10

// Holder is a proxy's side of its lease. The zero value holds no lease.
type Holder struct {
	expiresAt int64
}

// Renew extends the lease after the request sent at requestedAtMs was granted. It never shortens the lease.
func (h *Holder) Renew(requestedAtMs int64) {
	h.expiresAt = max(h.expiresAt, requestedAtMs+holderValidityMs)
}

// ExpiresAt returns when the lease ends, in milliseconds of the proxy's clock. It is 0 if no lease was ever held.
func (h *Holder) ExpiresAt() int64 { return h.expiresAt }

// Valid reports whether the lease is valid, so that the proxy may act on the log that it has applied.
func (h *Holder) Valid(nowMs int64) bool { return nowMs < h.expiresAt }
