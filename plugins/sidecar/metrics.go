package sidecar

import (
	"expvar"
	"strconv"

	"github.com/bronzemast/bronzemast/internal/latency"
	"github.com/bronzemast/bronzemast/model"
)

// metrics counts what happens to requests.
type metrics struct {
	outcomes    expvar.Map
	statuses    expvar.Map
	refusals    expvar.Map
	retries     expvar.Int
	budgetEmpty expvar.Int
	canceled    expvar.Int
	// requests holds how long callers waited for their answers, and waits how long
	// requests waited for a slot of the target.
	requests *latency.Histogram
	waits    *latency.Histogram
}

func newMetrics(m *expvar.Map) *metrics {
	s := &metrics{requests: latency.New(), waits: latency.New()}
	m.Set("outcomes", s.outcomes.Init())
	m.Set("statuses", s.statuses.Init())
	m.Set("refusals", s.refusals.Init())
	m.Set("retries", &s.retries)
	m.Set("retry_budget_empty", &s.budgetEmpty)
	m.Set("canceled", &s.canceled)
	m.Set("request_latency", s.requests)
	m.Set("slot_wait", s.waits)
	return s
}

func (m *metrics) outcome(o model.Outcome, status int) {
	m.outcomes.Add(o.String(), 1)
	if status > 0 {
		m.statuses.Add(strconv.Itoa(status), 1)
	}
}

func (m *metrics) refused(reason model.Reason) {
	m.refusals.Add(string(reason), 1)
}
