package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/plugins/sidecar/retrybudget"
)

// budgetsOfOneNode returns the budgets of a node that has had the given requests of each service
// within a second.
func budgetsOfOneNode(requests map[string]int, now time.Time) *retryBudgets {
	settings := &liveSettings{}
	settings.Store(&Settings{RetryRatio: 0.2, RetryWindow: jsonc.Duration(10 * time.Second)})
	b := newRetryBudgets(settings, func() int { return 1 })
	for service, n := range requests {
		for range n {
			b.deposit(service, now)
		}
	}
	return b
}

// A run that is repeated makes its calls again, and these count as retries of the service that is
// called. Together with the calls that are retried themselves they stay within its budget.
func TestRetriedRunsAreChargedToTheServicesThatTheyCall(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	b := budgetsOfOneNode(map[string]int{"orders": 1000, "drawings": 200}, now)
	runs, calls := 0, 0
	for range 1000 {
		if b.withdraw(retryCost{service: "orders", callees: []string{"drawings"}}, now) {
			runs++
		}
		if b.withdraw(retryCost{service: "drawings", urgency: retrybudget.Urgent}, now) {
			calls++
		}
	}
	g.Expect(runs + calls).To(BeNumerically("<=", 0.2*200))
	g.Expect(calls).To(BeNumerically(">", 0))
	g.Expect(b.withdraw(retryCost{service: "orders"}, now)).To(BeTrue(), "its own budget is not exhausted")
}

func TestCalleesAreTheServicesThatTargetsCall(t *testing.T) {
	g := NewWithT(t)
	s := newTestStats()
	s.recordNested("r-1", "orders", false)
	s.recordNested("r-2", "drawings", true)
	s.recordNested("r-3", "drawings", true)
	g.Expect(s.callees("orders")).To(Equal([]string{"drawings"}))
	g.Expect(s.callees("drawings")).To(BeEmpty())
	s.recordNested("r-2", "drawings", false)
	s.recordNested("r-3", "drawings", false)
	g.Expect(s.callees("orders")).To(BeEmpty())
}
