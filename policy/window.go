package policy

import "math"

// window aggregates the values of the last windowSeconds seconds in a ring of one-second buckets.
type window [windowSeconds]struct {
	at                  TenthMs // start of the bucket, in seconds
	count, sum, squares float64
}

// record adds a value that was observed at now.
func (w *window) record(now TenthMs, value float64) {
	bucket := &w[now/second%windowSeconds]
	if bucket.at != now/second {
		bucket.at, bucket.count, bucket.sum, bucket.squares = now/second, 0, 0, 0
	}
	bucket.count, bucket.sum, bucket.squares = bucket.count+1, bucket.sum+value, bucket.squares+value*value
}

// summary returns the count, mean and standard deviation of the values in the window that ends at now.
func (w *window) summary(now TenthMs) (count, mean, deviation float64) {
	var sum, squares float64
	for _, bucket := range w {
		if bucket.at > now/second-windowSeconds {
			count, sum, squares = count+bucket.count, sum+bucket.sum, squares+bucket.squares
		}
	}
	mean = sum / max(count, 1)
	return count, mean, math.Sqrt(max(0, squares/max(count, 1)-mean*mean))
}
