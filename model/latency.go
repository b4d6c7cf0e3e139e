package model

import "time"

// Latency is a histogram of durations.
type Latency interface {
	// Quantile returns the q-quantile of the recorded durations, with q from 0 to 1.
	Quantile(q float64) time.Duration
	// Sum and Count return the sum and the number of the recorded durations.
	Sum() time.Duration
	Count() int64
}
