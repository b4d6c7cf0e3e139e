package source

import (
	"math"
	"math/rand/v2"
	"time"
)

// Shares of the platform's budget, in calls per second for the rates and in calls
// for the reserves. They add up to 1, so that a second in which every node uses its
// rate and its whole reserve stays within the budget.
const (
	// commonShare is the share of the rate divided among all hosts.
	commonShare = 0.5
	// readerShare is the share of the rate divided among readers and spares.
	readerShare = 0.3
	// commonReserveShare and readerReserveShare bound the total reserve of all
	// hosts, and that of all readers and spares.
	commonReserveShare = 0.02
	readerReserveShare = 0.18
)

const (
	// sparesPerReader is the number of hosts ranked behind each reader that get
	// the same allowance, so that they can replace it.
	sparesPerReader = 1
	// maxReserve bounds the reserve of a node in a small fleet, in calls.
	maxReserve = 64

	minInterval = time.Millisecond
	maxInterval = time.Minute
)

// policy holds the settings that determine rate limits and retries.
type policy struct {
	// budget is the rate limit of the whole fleet in calls per second.
	budget           float64
	readersPerDomain int
	expectedFleet    int
	everyNodeReads   bool
	// watchWait is the longest time that a watch waits for a change.
	watchWait time.Duration
	timeout   time.Duration
}

// allowance is the rate limit of one node.
type allowance struct {
	// interval is the mean time between two calls.
	interval time.Duration
	// reserve is the number of unused calls that can be saved for a burst.
	reserve int
}

// allowanceFor returns the allowance of a node with the given assignment. It depends
// on the host list alone. So the sum over a fleet that agrees on the list stays below
// the budget even if the nodes differ on which hosts are live.
func (p policy) allowanceFor(assigned assignment) allowance {
	fleetSize := float64(max(assigned.fleetSize, 1))
	rate := commonShare * p.budget / fleetSize
	reserve := commonReserveShare * p.budget / fleetSize
	if assigned.ranked {
		ranked := float64(max(assigned.rankedHosts, 1))
		rate += readerShare * p.budget / ranked
		reserve = readerReserveShare * p.budget / ranked
	}
	return allowance{interval: callInterval(rate), reserve: int(min(reserve, maxReserve))}
}

// callInterval returns the time between two calls at a rate in calls per second,
// within minInterval and maxInterval.
func callInterval(rate float64) time.Duration {
	interval := float64(time.Second) / rate
	if !(interval < float64(maxInterval)) {
		return maxInterval
	}
	return max(time.Duration(interval), minInterval)
}

const (
	// minSpreadTime is the shortest time over which starved nodes spread their
	// first reads.
	minSpreadTime = 100 * time.Millisecond
	// starvedPauseFactor is the mean time between two reads of one starved node,
	// in multiples of spreadTime.
	starvedPauseFactor = 4
	// initialBackoff and maxReaderBackoff are the first and the largest upper
	// bound of a reader's random back-off.
	initialBackoff   = 250 * time.Millisecond
	maxReaderBackoff = 2 * time.Second
	// maxTimeout bounds the call timeout, which doubles with each failure.
	maxTimeout = 10 * time.Second
	// maxDoublings bounds the exponent of back-offs and timeouts.
	maxDoublings = 16
)

// spreadTime returns the time in which every node of the fleet can make one call
// within the common share of the budget.
func (p policy) spreadTime(assigned assignment) time.Duration {
	seconds := float64(assigned.fleetSize) / (commonShare * p.budget)
	return max(time.Duration(seconds*float64(time.Second)), minSpreadTime)
}

// backoff returns the wait after a number of consecutive failures, with full
// jitter. Its upper bound grows up to maxReaderBackoff for a reader, and up to a
// limit that follows the size of the fleet where all nodes may retry.
func (p policy) backoff(assigned assignment, failures int, r *rand.Rand) time.Duration {
	longest := maxReaderBackoff
	if !assigned.reader || p.everyNodeReads {
		longest = max(longest, starvedPauseFactor*p.spreadTime(assigned))
	}
	return jitter(min(doubled(initialBackoff, failures-1), longest), r)
}

// callTimeout returns the timeout of a call after a number of consecutive failures.
// It grows, because a platform that is slower than a fixed timeout would never be
// read.
func (p policy) callTimeout(failures int) time.Duration {
	return min(doubled(p.timeout, failures), max(maxTimeout, p.timeout))
}

// doubled returns d doubled n times, at most maxDoublings times.
func doubled(d time.Duration, n int) time.Duration {
	return time.Duration(float64(d) * math.Exp2(float64(min(max(n, 0), maxDoublings))))
}

// jitter returns a random duration below d.
func jitter(d time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(r.Float64() * float64(d))
}
