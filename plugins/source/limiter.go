package source

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
)

// callQueue is a queue of calls that wait for the pacer. Each queue holds one
// reservation at a time, so that many calls in one queue do not delay the other.
type callQueue chan struct{}

func newCallQueue() callQueue {
	return make(callQueue, 1)
}

// limiter applies the node's allowance to its calls. It is safe for concurrent use.
type limiter struct {
	mu    sync.Mutex
	pacer *pacer
}

// wait blocks until the node may make one call. It returns the error of ctx if that
// ends first.
func (l *limiter) wait(ctx context.Context, q callQueue, currentAllowance func() allowance) error {
	select {
	case q <- struct{}{}:
		defer func() { <-q }()
	case <-ctx.Done():
		return ctx.Err()
	}
	at := l.reserve(currentAllowance())
	if !clock.Sleep(ctx, time.Until(at)) {
		return ctx.Err()
	}
	return nil
}

func (l *limiter) reserve(a allowance) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.pacer.adjust(a, now)
	return l.pacer.reserve(now)
}
