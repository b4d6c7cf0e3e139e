package forwarding

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// watchdog inquires about an attempt that gets no response. It uses new connections
// and growing intervals, to distinguish a silent connection from a slow target.
type watchdog struct {
	timer  *time.Timer
	done   chan struct{}
	cancel context.CancelFunc
}

// inquiryDelay returns the time without a response, measured from sending the
// attempt, after which the first inquiry is made.
func (a *attempt) inquiryDelay() time.Duration {
	return a.peer.responseTime.timeout(a.entry.settings.Silence.Std())
}

// maxInquiryDelay limits the delay of the first inquiry, unless the setting silence
// is longer.
const maxInquiryDelay = 2 * time.Second

// responseTimeEstimator estimates the response time of a peer like the TCP
// retransmission timer (RFC 6298), by the smoothed mean and mean deviation. It is
// safe for concurrent use.
type responseTimeEstimator struct {
	mu        sync.Mutex
	mean      time.Duration
	deviation time.Duration
}

const (
	meanGainDivisor      = 8
	deviationGainDivisor = 4
	deviationFactor      = 4
)

// observe adds a measured response time.
func (e *responseTimeEstimator) observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mean == 0 {
		e.mean, e.deviation = d, d/2
		return
	}
	e.deviation += ((e.mean - d).Abs() - e.deviation) / deviationGainDivisor
	e.mean += (d - e.mean) / meanGainDivisor
}

// timeout returns the time after which a response is late, at least minimum.
func (e *responseTimeEstimator) timeout(minimum time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(max(e.mean+deviationFactor*e.deviation, minimum), max(maxInquiryDelay, minimum))
}

// startWatchdog starts a watchdog for the attempt. The caller must call its stop.
func (a *attempt) startWatchdog(ctx context.Context) *watchdog {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchdog{done: make(chan struct{}), cancel: cancel}
	w.timer = time.AfterFunc(a.inquiryDelay(), func() {
		defer close(w.done)
		a.inquireUntilSettled(ctx)
	})
	return w
}

// stop stops the watchdog and waits for an inquiry in progress.
func (w *watchdog) stop() {
	w.cancel()
	if !w.timer.Stop() {
		<-w.done
	}
}

// inquiryTimeout is the timeout of one inquiry. A new connection takes a few
// milliseconds, so a peer that exceeds it is paused or partitioned.
const inquiryTimeout = 300 * time.Millisecond

func (a *attempt) inquireUntilSettled(ctx context.Context) {
	interval := a.inquiryDelay()
	ran := false
	for ctx.Err() == nil {
		answer, err := a.inquire(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			if a.handleUnreachable() {
				return
			}
		case err == nil && a.applyInquiry(answer, ran):
			return
		}
		ran = err == nil && answer.Outcome == model.OutcomeRan
		if !ran {
			interval *= 2
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

func (a *attempt) inquire(ctx context.Context) (hopAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	a.entry.metrics.inquiries.Add(1)
	return a.peer.inquire(ctx, &a.hop, false)
}

// handleUnreachable reports the peer as unreachable after a failed inquiry. If the
// call may be retried on another target and the retry budget allows it, it ends the
// attempt with an unknown outcome and returns true. Any other attempt keeps
// waiting, since its response may still arrive.
func (a *attempt) handleUnreachable() bool {
	a.entry.fleet.Observe(model.Observation{Host: a.peer.id, Evidence: model.EvidenceUnreachable, At: time.Now()})
	lost := attemptResult{outcome: model.OutcomeUnknown, reason: model.ReasonPeerLost, failed: true, budgetCharged: true}
	if planAfter(a.entry.retryInputOf(a.call, lost), a.call.maxAttempts(a.entry.settings.MaxAttempts)) != planRetry {
		return false
	}
	if !a.entry.budgets.withdraw(a.call.budgetKey()) {
		return false
	}
	a.abandon(lost)
	return true
}

// applyInquiry ends the attempt if the inquiry settles it, and reports whether it
// did. ranBefore is set if the previous inquiry found that the target had responded:
// the response gets one interval to arrive after that.
func (a *attempt) applyInquiry(answer hopAnswer, ranBefore bool) bool {
	switch {
	case answer.Outcome == model.OutcomeNotRun, answer.Outcome == model.OutcomeRan && ranBefore:
		a.abandon(a.resultOfInquiry(answer, model.ReasonPeerLost, false))
	case answer.Token.Incarnation != a.hop.Token.Incarnation:
		a.abandon(a.resultOfInquiry(answer, model.ReasonPeerLost, true))
	default:
		return false
	}
	return true
}

// abandon ends the attempt on a silent connection with the given result.
func (a *attempt) abandon(result attemptResult) {
	a.entry.metrics.silentConnections.Add(1)
	a.mu.Lock()
	a.inquiryResult = &result
	a.mu.Unlock()
	a.peer.calls.CloseIdleConnections()
	a.cancel(errSettledByInquiry)
}
