package sidecar

import (
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/plugins/sidecar/retrybudget"
)

// retryBudgets holds the node's retry budget of each service.
type retryBudgets struct {
	settings *liveSettings
	// fleetSize returns the number of nodes that share the reserve.
	fleetSize func() int

	mu       sync.Mutex
	services map[string]*retrybudget.Budget
	// maxFleetSize is the largest fleet seen. The list of targets is incomplete for a while
	// after an outage of the store, and the others have their shares of the reserve then too.
	maxFleetSize int
}

func newRetryBudgets(settings *liveSettings, fleetSize func() int) *retryBudgets {
	return &retryBudgets{settings: settings, fleetSize: fleetSize, services: map[string]*retrybudget.Budget{}, maxFleetSize: 1}
}

// budget returns the budget of a service, which it creates if needed. The caller holds mu.
func (b *retryBudgets) budget(service string) *retrybudget.Budget {
	found := b.services[service]
	if found == nil {
		found = &retrybudget.Budget{Window: b.settings.Load().RetryWindow.Std()}
		b.services[service] = found
	}
	b.maxFleetSize = max(b.maxFleetSize, b.fleetSize())
	found.Ratio = b.settings.Load().RetryRatio * retryBudgetShare
	found.Reserve = b.settings.Load().RetryReserve * retryBudgetShare / float64(b.maxFleetSize)
	return found
}

// retryBudgetShare is the share of the fleet's retry budget that nodes spend. The rest covers
// what they can't count, such as runs that make more than one call.
const retryBudgetShare = 0.85

func (b *retryBudgets) deposit(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Deposit(now)
}

// retryCost names the budgets that a retry is charged to.
type retryCost struct {
	service string
	urgency retrybudget.Urgency
	// callees holds the services that a further run may call. These calls are retries as
	// well, as the first run has made them already.
	callees []string
}

// withdraw takes a retry from all budgets that it is charged to. It takes none if one of them is
// exhausted.
func (b *retryBudgets) withdraw(cost retryCost, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, callee := range cost.callees {
		if !b.budget(callee).Allows(now, retrybudget.Normal) {
			return false
		}
	}
	if !b.budget(cost.service).Withdraw(now, cost.urgency) {
		return false
	}
	for _, callee := range cost.callees {
		b.budget(callee).Withdraw(now, retrybudget.Normal)
	}
	return true
}
