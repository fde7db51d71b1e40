package position

import "ferrypitch/policy"

// DefaultPromotionMs is the assumed duration of a promotion before one was measured, in milliseconds.
const DefaultPromotionMs = 700

// nominationMs is how long it takes to find out which host to promote, in milliseconds.
const nominationMs = 50

// NextPrimaryDue returns when the next primary can be expected: a quarter later than the last promotion suggests, which took
// lastPromotionMs milliseconds (0: none was measured). If no host was nominated yet, the time to choose one is added.
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
