package distribution

import "time"

// maxBackoffShift limits the exponent so that base<<shift does not overflow.
const maxBackoffShift = 16

// Backoff returns the delay before the next attempt after the given number of
// failures: exponential backoff with full jitter. The fraction, a random number
// in [0, 1), scales the bound of base times 2^failures, capped at limit.
func Backoff(base, limit time.Duration, failures int, fraction float64) time.Duration {
	shift := min(max(failures, 0), maxBackoffShift)
	bound := min(base<<shift, limit)
	return time.Duration(fraction * float64(bound))
}
