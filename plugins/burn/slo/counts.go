// Package slo computes the burn rate of a service's error budget from counts of calls
// and attributes it to callers or the target. It does no I/O and keeps no state: nodes
// count calls, the operators' command merges the counts of all nodes.
package slo

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// Counts holds the numbers of calls of one caller to one service, as counted by nodes
// in one role.
type Counts struct {
	// Offered counts all calls except invalid, unauthorized and canceled ones, which
	// Refused counts.
	Offered uint64 `json:"offered"`
	// Good, Slow, Failed, Shed, RateLimited and Quarantined sum up to Offered.
	Good uint64 `json:"good"`
	// Slow counts responses that took longer than the latency objective.
	Slow uint64 `json:"slow"`
	// Failed counts calls without a usable response.
	Failed uint64 `json:"failed"`
	// Shed counts calls rejected for lack of capacity.
	Shed uint64 `json:"shed"`
	// RateLimited counts calls above the caller's rate limit. The objective does
	// not cover them.
	RateLimited uint64 `json:"rate_limited"`
	// Quarantined counts calls that were kept from targets because these crash while they run
	// them.
	Quarantined uint64 `json:"quarantined"`
	// OverShare counts calls, admitted or not, that exceeded the caller's fair share
	// of the target's nominal capacity while capacity was short. Entry nodes count
	// only those that were rejected for it.
	OverShare uint64 `json:"over_share"`
	// Refused counts calls outside of Offered.
	Refused uint64 `json:"refused"`
}

// Add adds o to c.
func (c *Counts) Add(o Counts) {
	c.Offered += o.Offered
	c.Good += o.Good
	c.Slow += o.Slow
	c.Failed += o.Failed
	c.Shed += o.Shed
	c.RateLimited += o.RateLimited
	c.Quarantined += o.Quarantined
	c.OverShare += o.OverShare
	c.Refused += o.Refused
}

// Admitted returns the number of calls that were neither shed, rate limited nor quarantined.
func (c Counts) Admitted() uint64 {
	return c.Good + c.Slow + c.Failed
}

// Eligible returns the number of calls that the objective covers.
func (c Counts) Eligible() uint64 {
	return c.Admitted() + c.Shed + c.Quarantined
}

// Bad returns the number of calls that missed the objective.
func (c Counts) Bad() uint64 {
	return c.Slow + c.Failed + c.Shed + c.Quarantined
}

// Class is the result of a call with respect to the objective.
type Class uint8

// The classes of calls.
const (
	ClassGood Class = iota
	ClassSlow
	ClassFailed
	ClassShed
	ClassRateLimited
	ClassRefused
	ClassQuarantined
)

var classNames = [...]string{"good", "slow", "failed", "shed", "rate-limited", "refused", "quarantined"}

// String returns the name of the class.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// firstServerError is the lowest HTTP status that counts as a failure of the target.
const firstServerError = 500

// Classify returns the class of a call. latency is the latency objective, 0 if there
// is none.
func Classify(r model.CallRecord, latency time.Duration) Class {
	switch r.Reason {
	case model.ReasonNone:
	case model.ReasonOverShare, model.ReasonOverloaded, model.ReasonTargetRefused, model.ReasonTargetLimited, model.ReasonLinkFull, model.ReasonDeadline:
		return ClassShed
	case model.ReasonRateLimited:
		return ClassRateLimited
	case model.ReasonQuarantined:
		return ClassQuarantined
	case model.ReasonUnauthenticated, model.ReasonNotPermitted, model.ReasonNoService, model.ReasonNoRoute,
		model.ReasonCanceled, model.ReasonTooLarge, model.ReasonBadRequest:
		return ClassRefused
	default:
		return ClassFailed
	}
	switch {
	case r.Outcome != model.OutcomeRan || r.Status >= firstServerError:
		return ClassFailed
	case latency > 0 && r.Latency > latency:
		return ClassSlow
	default:
		return ClassGood
	}
}

// CountCall counts one call of a class. overShare is set if the call exceeded the
// caller's share.
func (c *Counts) CountCall(class Class, overShare bool) {
	if class == ClassRefused {
		c.Refused++
		return
	}
	c.Offered++
	if overShare {
		c.OverShare++
	}
	switch class {
	case ClassSlow:
		c.Slow++
	case ClassFailed:
		c.Failed++
	case ClassShed:
		c.Shed++
	case ClassRateLimited:
		c.RateLimited++
	case ClassQuarantined:
		c.Quarantined++
	default:
		c.Good++
	}
}

// SideCounts holds the counts of a caller's calls at entry nodes and at target-side
// nodes. Entry nodes count the result that the caller got, after retries; target-side
// nodes count each attempt.
type SideCounts struct {
	Entry  Counts `json:"entry"`
	Target Counts `json:"target_side"`
}

// Add adds o to s.
func (s *SideCounts) Add(o SideCounts) {
	s.Entry.Add(o.Entry)
	s.Target.Add(o.Target)
}

// Callers holds the counts of each caller by name.
type Callers map[string]SideCounts

// Add adds the counts of one caller.
func (c Callers) Add(name string, s SideCounts) {
	sum := c[name]
	sum.Add(s)
	c[name] = sum
}

// Total returns the sum over all callers.
func (c Callers) Total() SideCounts {
	var sum SideCounts
	for _, s := range c {
		sum.Add(s)
	}
	return sum
}
