package model

import "time"

// Latency is a metric that tells how long things have taken.
type Latency interface {
	// Quantile returns the time that a part q of them, 0 to 1, did not exceed.
	Quantile(q float64) time.Duration
	// Sum and Count return the sum of all times and their number.
	Sum() time.Duration
	Count() int64
}
