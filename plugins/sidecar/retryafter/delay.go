// Package retryafter decides when a caller whose request was rejected, as not run, is to come
// back. It answers two loads. Callers that are rejected because all targets are full come back
// spread over time, so that they do not all find them full again. Callers that a target has
// turned away though it had room, as targets do that shed a share of their requests, come back at
// once: another target takes the request with the same chance, and there is still time to meet
// the objective. It does no I/O.
package retryafter

import "time"

const (
	// minFull is the shortest delay while the targets are full, so that callers do not come
	// back at once.
	minFull = 100 * time.Millisecond
	// minRefused is the shortest delay after a refusal by a target with room.
	minRefused = 20 * time.Millisecond
	// fullSpread is the share of a caller's remaining time over which the callers that were
	// rejected together are spread, and refusedSpread the share of the time that remains to
	// meet the objective.
	fullSpread    = 0.25
	refusedSpread = 0.1
)

// Rejection describes a rejected request.
type Rejection struct {
	// Wait is the time until room is expected, or for which the target asks.
	Wait time.Duration
	// HadRoom is set if a target turned the request away though it had a free slot.
	HadRoom bool
	// ObjectiveRemaining is the time left to meet the objective, expected run time excluded,
	// and Left that until the caller's deadline.
	ObjectiveRemaining time.Duration
	Left               time.Duration
}

// Delay returns the delay after which the caller is to come back. random is uniform from 0 to 1.
func (r Rejection) Delay(random float64) time.Duration {
	if r.HadRoom && r.ObjectiveRemaining > minRefused {
		spread := refusedSpread * float64(r.ObjectiveRemaining)
		return max(r.Wait, minRefused) + time.Duration(random*spread)
	}
	spread := fullSpread * float64(max(r.Left, 0))
	return max(r.Wait, minFull) + time.Duration(random*spread)
}
