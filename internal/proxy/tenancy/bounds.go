package tenancy

const (
	// maxTransactionGraceMs is the longest time that an open transaction may continue after its key was revoked.
	maxTransactionGraceMs = 1000

	// boundShare is the fraction of a platform bound that a proxy uses itself. The rest is left for late configuration updates and
	// for statements in flight.
	boundShare = 1.0 / 4

	// downgradeShare is the fraction of DowngradeMs that a transaction may use.
	downgradeShare = 1.0 / 2
)

// Bounds are the platform's bounds on the use of a revoked key, in milliseconds.
type Bounds struct {
	RevokeMs      float64 // from the acknowledgement of the revocation until nothing runs under the key
	ConfigApplyMs float64 // from the acknowledgement of a configuration change until proxies apply it
	DowngradeMs   float64 // from the first effect of a version at a proxy until it acts on no older version; 0: no bound
}

// TransactionGraceMs returns the grace period of open transactions: how long they may still send statements after the proxy has
// applied the revocation of their key. Most transactions end within it.
func (b Bounds) TransactionGraceMs() int64 {
	grace := min(maxTransactionGraceMs, boundShare*b.RevokeMs, boundShare*b.ConfigApplyMs)
	if b.DowngradeMs > 0 {
		grace = min(grace, downgradeShare*b.DowngradeMs)
	}
	return int64(grace)
}

// MaxLeaseLossMs returns how long keys may still be accepted after the lease has expired. Only a valid lease shows that the
// configuration, and with it the list of keys, is current.
func (b Bounds) MaxLeaseLossMs() int64 { return int64(boundShare * b.RevokeMs) }
