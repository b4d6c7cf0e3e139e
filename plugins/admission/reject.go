package admission

import (
	"math"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of rejected calls.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
	// retryDensity is the number of retries scheduled for each call within the
	// caller's fair share, so that no slot stays idle while rejected calls wait.
	retryDensity = 4
)

func overloadReason(p policy, t *ticket) model.Reason {
	if t.demandOverShare && p == policyFair {
		return model.ReasonOverShare
	}
	return model.ReasonOverloaded
}

// reject counts a rejection and sets the caller's retry delay.
func (g *gate) reject(now time.Time, c *caller, reason model.Reason, overShare bool, cost float64) decision {
	c.counts.Shed++
	if overShare {
		c.counts.OverShare++
	}
	rejection := model.Rejection{Reason: reason, OverShare: overShare}
	if reason == model.ReasonOverloaded || reason == model.ReasonOverShare {
		g.shed++
		rejection.RetryAfter = g.retryAfter(now, c, cost)
	}
	return decision{rejection: rejection}
}

// retryAfter returns the retry delay of a rejected call. The retries of a caller are
// spaced evenly, at retryDensity times the rate of its fair share.
func (g *gate) retryAfter(now time.Time, c *caller, cost float64) time.Duration {
	rate := g.currentLevel * c.weight
	if math.IsInf(rate, 1) {
		capacity, known := g.limiter.capacity()
		if !known {
			return minRetryAfter
		}
		rate = capacity
	}
	if c.nextRetry.Before(now) {
		c.nextRetry = now
	}
	c.nextRetry = earlier(c.nextRetry.Add(durationOf(cost/(rate*retryDensity))), now.Add(maxRetryAfter))
	return max(c.nextRetry.Sub(now), minRetryAfter)
}
