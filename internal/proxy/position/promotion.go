package position

import "ferrypitch/policy"

// DefaultPromotionMs is the assumed duration of a promotion until one has completed, in milliseconds.
const DefaultPromotionMs = 700

// nominationMs is the expected time to choose the host to promote, in milliseconds.
const nominationMs = 50

// NextPrimaryDue returns the time at which the next primary is expected: the duration of the last promotion, lastPromotionMs
// milliseconds (0 if none has completed), plus a quarter. If no host is nominated yet, the time to choose one is added.
func NextPrimaryDue(now policy.TenthMs, lastPromotionMs int64, nominated bool) policy.TenthMs {
	expectedMs := lastPromotionMs
	if expectedMs <= 0 {
		expectedMs = DefaultPromotionMs
	}
	if !nominated {
		expectedMs += nominationMs
	}
	return now + (expectedMs+expectedMs/4)*tenthsPerMs
}
