// Package ratelimit keeps the requests to a target within the rate that the target names in
// its answers. It does no I/O.
package ratelimit

import (
	"math"
	"time"
)

const (
	// burstTime is the time for which a bucket saves unused requests.
	burstTime = 250 * time.Millisecond
	// minRate is the lowest rate that Usable returns, in requests per second.
	minRate = 0.1
	// maxWait is returned as the time until a token is available if the rate is 0.
	maxWait = time.Hour
)

// Usable returns the rate at which requests are sent to a target with a limit. A target that
// accepts none still gets a few, because only an answer can show that the limit has ended.
func Usable(limit float64) float64 { return max(limit, minRate) }

// Bucket is a token bucket that holds one token per allowed request. In any time t it allows
// at most t times the rate, plus the larger of one request and burstTime times the rate. The
// zero value has no limit. It is not safe for concurrent use.
type Bucket struct {
	limited bool
	// rate is in requests per second.
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// Limited reports whether a rate is set.
func (b *Bucket) Limited() bool { return b.limited }

// SetRate sets the rate. A bucket without a limit so far starts with one token.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	if !b.limited {
		b.limited, b.tokens, b.refilledAt = true, 1, now
	}
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.capacity())
}

// SetTokens replaces the tokens that are saved, within the capacity.
func (b *Bucket) SetTokens(tokens float64, now time.Time) {
	b.tokens, b.refilledAt = min(tokens, b.capacity()), now
}

// Clear removes the limit.
func (b *Bucket) Clear() { *b = Bucket{} }

// Take takes the token of a request. It returns false if there is none.
func (b *Bucket) Take(now time.Time) bool {
	if !b.limited {
		return true
	}
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Until returns the time until n tokens will have become available, 0 if they are now.
func (b *Bucket) Until(n int, now time.Time) time.Duration {
	if !b.limited {
		return 0
	}
	b.refill(now)
	missing := float64(n) - b.tokens
	if missing <= 0 {
		return 0
	}
	seconds := missing / b.rate
	if seconds > maxWait.Seconds() { // infinite for a rate of 0
		return maxWait
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

func (b *Bucket) refill(now time.Time) {
	elapsed := max(now.Sub(b.refilledAt), 0)
	b.tokens = min(b.tokens+elapsed.Seconds()*b.rate, b.capacity())
	b.refilledAt = now
}

func (b *Bucket) capacity() float64 {
	return max(1, b.rate*burstTime.Seconds())
}
