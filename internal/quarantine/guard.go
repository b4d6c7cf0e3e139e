package quarantine

import (
	"context"
	"time"
)

// Isolation admits one request at a time to a target. Requests that may crash the target run
// through it, so that a crash shows which of them has caused it. It is safe for concurrent use.
type Isolation struct {
	// slot holds an element while a request runs, queue one for each that runs or waits.
	slot  chan struct{}
	queue chan struct{}
}

// maxIsolated bounds the requests that run or wait in isolation at one target.
const maxIsolated = 64

// NewIsolation returns an isolation without requests.
func NewIsolation() *Isolation {
	return &Isolation{slot: make(chan struct{}, 1), queue: make(chan struct{}, maxIsolated)}
}

// enter waits for the request's turn. It returns false at once if the requests ahead, of which
// each is expected to run for a time, are likely to take longer than limit.
func (i *Isolation) enter(ctx context.Context, expected, limit time.Duration) bool {
	select {
	case i.queue <- struct{}{}:
	default:
		return false
	}
	if time.Duration(len(i.queue)-1)*expected > limit {
		<-i.queue
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case i.slot <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	<-i.queue
	return false
}

// tryEnter enters without waiting and reports whether that was possible.
func (i *Isolation) tryEnter() bool {
	select {
	case i.queue <- struct{}{}:
	default:
		return false
	}
	select {
	case i.slot <- struct{}{}:
		return true
	default:
		<-i.queue
		return false
	}
}

// leave ends the turn of a request.
func (i *Isolation) leave() {
	<-i.slot
	<-i.queue
}

// Judge returns verdicts on requests.
type Judge interface {
	// Empty reports whether there is no evidence against any request.
	Empty() bool
	Verdict(f Fingerprint) Verdict
}

// VerdictOn returns the verdict of a judge on a request. It identifies the request only if there is
// evidence against any.
func VerdictOn(judge Judge, request func() Fingerprint) Verdict {
	if judge.Empty() {
		return Verdict{}
	}
	return judge.Verdict(request())
}

// Guard keeps one request from a target, or lets it run alone, if it may crash the target.
type Guard struct {
	judge     Judge
	isolation *Isolation
	// request returns the fingerprint of the request.
	request func() Fingerprint
	// entered is set while the request has its turn in isolation.
	entered bool
}

// NewGuard returns the guard of a request. The function request is only called if there is
// evidence against any request.
func NewGuard(judge Judge, isolation *Isolation, request func() Fingerprint) *Guard {
	return &Guard{judge: judge, isolation: isolation, request: request}
}

// Enter waits for the turn of a request that has to run alone. It returns false if the request
// is refused, and after which time it may be sent again. expected is the estimated time of a
// run, limit the longest time to wait.
func (g *Guard) Enter(ctx context.Context, expected, limit time.Duration) (retryAfter time.Duration, ok bool) {
	verdict := VerdictOn(g.judge, g.request)
	switch verdict.Action {
	case Refuse:
		return verdict.RetryAfter, false
	case Isolate:
		g.entered = g.isolation.enter(ctx, expected, limit)
		return expected, g.entered
	default:
		return 0, true
	}
}

// Check is called right before the request is sent to the target. It returns false if evidence
// that has arrived since Enter forbids that.
func (g *Guard) Check() (retryAfter time.Duration, ok bool) {
	verdict := VerdictOn(g.judge, g.request)
	switch {
	case verdict.Action == Refuse:
		return verdict.RetryAfter, false
	case verdict.Action == Isolate && !g.entered:
		g.entered = g.isolation.tryEnter()
		return 0, g.entered
	default:
		return 0, true
	}
}

// Leave ends the turn of a request in isolation.
func (g *Guard) Leave() {
	if g.entered {
		g.entered = false
		g.isolation.leave()
	}
}
