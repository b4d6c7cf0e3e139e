package forwarding

import (
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// retryInput is the input of the retry decision.
type retryInput struct {
	outcome model.Outcome
	reason  model.Reason
	// answered is set when there is a target response to forward.
	answered bool
	// connectionFailed is set when only the connection to the peer failed.
	connectionFailed bool
	// olderRelease is set when the target-side node decided by an older release
	// than the entry node.
	olderRelease bool
	// idempotent is a property of the route.
	idempotent bool
	// replayable is set while the request body can be sent again.
	replayable bool
	depth      int
	attempts   int
	// remaining is the time until the call's deadline.
	remaining time.Duration
}

// retryPlan is the action that follows a finished attempt.
type retryPlan uint8

// The actions that follow a finished attempt.
const (
	// planFinish returns the result to the caller.
	planFinish retryPlan = iota
	// planFailover tries another target without charging the retry budget, since
	// the failed attempt put no load on a target.
	planFailover
	// planRetry tries another target if the retry budget allows it.
	planRetry
	// planSameTarget tries the same target with a new token or connection.
	planSameTarget
)

// minRetryTime is the remaining time below which no further attempt is made.
const minRetryTime = 2 * time.Millisecond

// planAfter decides what follows an attempt. An attempt is retried only if it has
// not run or its route is idempotent. In a nested call, attempts that may have run
// are retried only by the outermost entry node, so that retries do not multiply
// with the depth.
func planAfter(in retryInput, maxAttempts int) retryPlan {
	if in.answered || !in.replayable || in.attempts >= maxAttempts || in.remaining < minRetryTime {
		return planFinish
	}
	switch in.outcome {
	case model.OutcomeNotRun:
		if in.connectionFailed {
			return planSameTarget
		}
		return planAfterNotRun(in.reason, in.olderRelease)
	default:
		if in.idempotent && in.depth <= 1 && in.reason != model.ReasonCanceled {
			return planRetry
		}
		return planFinish
	}
}

// planAfterNotRun decides by the reason why an attempt did not run. Denied
// authorization is final unless the node that denied it has an older release:
// failing over from a newer release could reach a node that has not yet applied a
// revocation.
func planAfterNotRun(reason model.Reason, olderRelease bool) retryPlan {
	switch reason {
	case model.ReasonStaleToken:
		return planSameTarget
	case model.ReasonDraining, model.ReasonUnreachable, model.ReasonFenced, model.ReasonNoConfiguration, model.ReasonNoTarget, model.ReasonRateLimited:
		return planFailover
	case model.ReasonNotPermitted, model.ReasonNoService, model.ReasonNoRoute:
		if olderRelease {
			return planFailover
		}
		return planFinish
	case model.ReasonOverloaded, model.ReasonTargetRefused:
		return planRetry
	default:
		return planFinish
	}
}

// The retry budget of a caller at a service, in retries.
const (
	// budgetCap is the maximum balance.
	budgetCap = 10.0
	// budgetStart is the initial balance.
	budgetStart = 3.0
	// maxBudgets is the maximum number of budgets that are kept.
	maxBudgets = 16384
)

// budgetKey identifies a retry budget. Each caller has its own, so that rejected
// calls of one caller do not consume the retries of others.
type budgetKey struct {
	service, caller string
}

// budgets holds the retry budgets of a node. It is safe for concurrent use.
type budgets struct {
	// unlimited disables the budgets, as a baseline for measurements.
	unlimited bool

	mu sync.Mutex
	// tokens is the balance of each budget in retries.
	tokens map[budgetKey]float64
}

func newBudgets(unlimited bool) *budgets {
	return &budgets{unlimited: unlimited, tokens: map[budgetKey]float64{}}
}

// deposit credits the budget with ratio retries, the share earned by the first
// attempt of a call.
func (b *budgets) deposit(key budgetKey, ratio float64) {
	if b.unlimited {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, known := b.tokens[key]
	if !known {
		if len(b.tokens) >= maxBudgets {
			clear(b.tokens)
		}
		balance = budgetStart
	}
	b.tokens[key] = min(balance+ratio, budgetCap)
}

// withdraw charges one retry to the budget. It returns false if the balance is
// less than one.
func (b *budgets) withdraw(key budgetKey) bool {
	if b.unlimited {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[key] < 1 {
		return false
	}
	b.tokens[key]--
	return true
}
