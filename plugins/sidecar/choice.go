package sidecar

import (
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/placement"
	"github.com/bronzemast/bronzemast/plugins/sidecar/retrybudget"
)

// choice is the target of an attempt.
type choice struct {
	target *model.Target
	// otherFree is set when a target that has not refused the call seems to have
	// a free slot.
	otherFree bool
}

// choose returns the best of the targets that may get a call. Those that have
// refused it come back into the choice once no other one seems to have room.
func (b *book) choose(c *call, targets []*model.Target, random float64, now time.Time) choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A request that is late already is placed as if it had all of its time.
	onTime := c.onTime.Sub(now)
	if onTime <= 0 {
		onTime = c.route.Objective
	}
	var all, free options
	for _, t := range targets {
		if t.Leaving || c.failed[t.ID] {
			continue
		}
		candidate := b.candidate(t, c.route.Name, c.route.Objective, onTime, now)
		all.add(t, candidate)
		if candidate.Free() && !c.refused[t.ID] {
			free.add(t, candidate)
		}
	}
	if len(c.refused) > 0 && len(free.targets) > 0 {
		all = free
	}
	i := placement.Choose(all.candidates, random)
	if i < 0 {
		return choice{}
	}
	others := len(free.targets)
	if all.candidates[i].Free() && !c.refused[all.targets[i].ID] {
		others--
	}
	return choice{target: all.targets[i], otherFree: others > 0}
}

// options are targets and how they look to the placement.
type options struct {
	targets    []*model.Target
	candidates []placement.Candidate
}

func (o *options) add(t *model.Target, c placement.Candidate) {
	o.targets = append(o.targets, t)
	o.candidates = append(o.candidates, c)
}

// parts spreads the requests of each route over its services by their weights.
type parts struct {
	mu     sync.Mutex
	routes map[string]*turns
}

// turns is the state of a smooth weighted round robin.
type turns struct {
	credit map[string]int
}

func newParts() *parts {
	return &parts{routes: map[string]*turns{}}
}

// choose returns the service that gets the next request of a route: the one that
// is furthest behind its share.
func (p *parts) choose(r *ingress.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.routes[r.Name]
	if t == nil || len(t.credit) != len(r.Parts) {
		t = &turns{credit: map[string]int{}}
		p.routes[r.Name] = t
	}
	total := 0
	best := ""
	for _, part := range r.Parts {
		t.credit[part.Service] += part.Weight
		total += part.Weight
		if best == "" || t.credit[part.Service] > t.credit[best] {
			best = part.Service
		}
	}
	t.credit[best] -= total
	return best
}

// budgets holds the retry budget of each service.
type budgets struct {
	settings *live
	// fleet returns the number of nodes that share the reserve.
	fleet func() int

	mu       sync.Mutex
	services map[string]*retrybudget.Budget
}

func newBudgets(settings *live, fleet func() int) *budgets {
	return &budgets{settings: settings, fleet: fleet, services: map[string]*retrybudget.Budget{}}
}

func (b *budgets) budget(service string) *retrybudget.Budget {
	found := b.services[service]
	if found == nil {
		found = &retrybudget.Budget{Window: b.settings.Load().RetryWindow.Std()}
		b.services[service] = found
	}
	found.Ratio = b.settings.Load().RetryRatio * budgetPart
	found.Reserve = b.settings.Load().RetryReserve * budgetPart / float64(max(b.fleet(), 1))
	return found
}

// budgetPart is the part of the fleet's retry budget that nodes spend. The rest is
// for the calls that a repeated run makes at other services.
const budgetPart = 0.5

func (b *budgets) deposit(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Deposit(now)
}

func (b *budgets) withdraw(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Withdraw(now)
}
