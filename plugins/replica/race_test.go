//go:build race

package replica

import "runtime"

// Simulations on a fake clock run on one processor under the race detector: all processors
// share one detector state for the timers of a simulation, which fails if two of them use it
// at once. Races are found from the order of events, not from their coincidence in time.
func init() { runtime.GOMAXPROCS(1) }
