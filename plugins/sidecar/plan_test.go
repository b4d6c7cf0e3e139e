package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/model"
)

func TestPlanAfterAnAttempt(t *testing.T) {
	base := attemptEnd{idempotent: true, replayable: true, targets: 1, most: 2, hops: 1, remaining: time.Second, handed: true}
	cases := []struct {
		name   string
		change func(*attemptEnd)
		want   plan
	}{
		{"a good answer", func(e *attemptEnd) { e.outcome = model.OutcomeRan }, planFinish},
		{"a refusal by a full target's node", func(e *attemptEnd) {
			e.outcome, e.reason, e.handed, e.targets = model.OutcomeNotRun, model.ReasonOverloaded, false, 0
		}, planMove},
		{"a refusal at the deadline", func(e *attemptEnd) {
			e.outcome, e.reason, e.handed = model.OutcomeNotRun, model.ReasonDeadline, false
		}, planFinish},
		{"a refusal by the target", func(e *attemptEnd) { e.outcome, e.idempotent = model.OutcomeNotRun, false }, planRetry},
		{"a failure of an idempotent request", func(e *attemptEnd) { e.outcome, e.failed = model.OutcomeRan, true }, planRetry},
		{"a failure of another request", func(e *attemptEnd) { e.outcome, e.failed, e.idempotent = model.OutcomeRan, true, false }, planFinish},
		{"a lost answer of an idempotent request", func(e *attemptEnd) { e.failed = true }, planRetry},
		{"a lost answer of another request", func(e *attemptEnd) { e.failed, e.idempotent = true, false }, planFinish},
		{"as many targets as the route allows", func(e *attemptEnd) { e.failed, e.targets = true, 2 }, planFinish},
		{"a body that was used up", func(e *attemptEnd) { e.failed, e.replayable = true, false }, planFinish},
		{"too little time for another run", func(e *attemptEnd) { e.failed, e.expected = true, 3*time.Second }, planFinish},
		{"as many hops as allowed", func(e *attemptEnd) { e.failed, e.hops = true, maxHops }, planFinish},
		{"a caller that left", func(e *attemptEnd) { e.failed, e.reason = true, model.ReasonCanceled }, planFinish},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			end := base
			c.change(&end)
			NewWithT(t).Expect(planAfter(end)).To(Equal(c.want))
		})
	}
}
