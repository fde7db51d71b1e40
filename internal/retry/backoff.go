package retry

// Backoff computes the delays between retries: exponential backoff with jitter. The delay doubles with each failed attempt up to
// MaxMs, and is drawn at random from the upper half of that range, so that callers that fail together do not retry together.
type Backoff struct {
	FirstMs, MaxMs float64 // upper bounds of the first delay and of all delays, in milliseconds

	failures int // counted until the delay reaches MaxMs
}

// NextMs returns the delay before the next attempt in milliseconds. random is a random number in [0, 1).
func (b *Backoff) NextMs(random float64) float64 {
	delay := b.FirstMs
	for range b.failures {
		delay = min(delay*2, b.MaxMs)
	}
	if delay < b.MaxMs {
		b.failures++
	}
	return delay * (1 + random) / 2
}

// Reset returns to the first delay. Call it after an attempt has succeeded.
func (b *Backoff) Reset() { b.failures = 0 }
