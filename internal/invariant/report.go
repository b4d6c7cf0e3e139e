package invariant

import (
	"sort"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// Report is the result of a checker.
type Report struct {
	// Broken is the number of violations of each promise. Promises that held are absent.
	Broken map[string]int `json:"broken"`
	// Violations holds the first violations, at most maxViolations.
	Violations []Violation `json:"violations"`
	Calls      CallCounts  `json:"calls"`
}

// Held reports whether no promise was broken.
func (r Report) Held() bool {
	return len(r.Broken) == 0
}

// Finish checks the releases against the bound InForce, with end as the end of the
// observations, and returns the result. It may be called only once.
func (c *Checker) Finish(end time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkInForce(end)
	report := Report{Broken: map[string]int{}, Violations: c.violations, Calls: c.callCounts()}
	for i, n := range c.counts {
		if n > 0 {
			report.Broken[Promise(i).String()] = n
		}
	}
	return report
}

// checkInForce checks for each reachable host and each release that this release or a
// later one was in force within the bound.
func (c *Checker) checkInForce(end time.Time) {
	numbers := make([]uint64, 0, len(c.releases))
	for n := range c.releases {
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for id, h := range c.hosts {
		if h.reachableSince.IsZero() {
			continue
		}
		for _, n := range numbers {
			c.checkHostInForce(id, h, n, end)
		}
	}
}

// checkHostInForce checks that a release or a later one was in force on a host within the
// bound.
func (c *Checker) checkHostInForce(id model.HostID, h *host, number uint64, end time.Time) {
	start := c.releases[number].publishedAt
	if h.reachableSince.After(start) {
		start = h.reachableSince
	}
	var first time.Time
	for applied, at := range h.appliedAt {
		if applied >= number && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	switch {
	case first.IsZero() && end.Sub(start) > c.bounds.InForce:
		c.violate(InForceEverywhere, "host %s had not applied release %d after %s", id, number, end.Sub(start))
	case !first.IsZero() && first.Sub(start) > c.bounds.InForce:
		c.violate(InForceEverywhere, "host %s applied release %d after %s", id, number, first.Sub(start))
	}
}
