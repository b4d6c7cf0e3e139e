// Package clock provides sleep functions that a context can interrupt.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SleepUntil waits until t. It returns false if ctx ends first.
func SleepUntil(ctx context.Context, t time.Time) bool {
	return Sleep(ctx, time.Until(t))
}
