package sidecar

import (
	"expvar"
	"strconv"

	"github.com/bronzemast/bronzemast/internal/latency"
	"github.com/bronzemast/bronzemast/model"
)

// metrics holds the request metrics of the plug-in.
type metrics struct {
	outcomes     expvar.Map
	statuses     expvar.Map
	localReplies expvar.Map
	retries      expvar.Int
	budgetEmpty  expvar.Int
	canceled     expvar.Int
	healthChecks expvar.Int
	invalidLoads expvar.Int
	diverted     expvar.Int
	// unknownHeaders counts answers of the target by unknown header.
	unknownHeaders expvar.Map
	// requestLatency is the time from receiving a request to writing its answer, and
	// slotWait the time that requests waited for a slot of the target.
	requestLatency *latency.Histogram
	slotWait       *latency.Histogram
}

func newMetrics(m *expvar.Map) *metrics {
	s := &metrics{requestLatency: latency.New(), slotWait: latency.New()}
	m.Set("outcomes", s.outcomes.Init())
	m.Set("statuses", s.statuses.Init())
	m.Set("refusals", s.localReplies.Init())
	m.Set("retries", &s.retries)
	m.Set("retry_budget_empty", &s.budgetEmpty)
	m.Set("canceled", &s.canceled)
	m.Set("health_checks", &s.healthChecks)
	m.Set("invalid_load_reports", &s.invalidLoads)
	m.Set("diverted", &s.diverted)
	m.Set("unknown_headers", s.unknownHeaders.Init())
	m.Set("request_latency", s.requestLatency)
	m.Set("slot_wait", s.slotWait)
	return s
}

func (m *metrics) outcome(o model.Outcome, status int) {
	m.outcomes.Add(o.String(), 1)
	if status > 0 {
		m.statuses.Add(strconv.Itoa(status), 1)
	}
}

func (m *metrics) localReply(reason model.Reason) {
	m.localReplies.Add(string(reason), 1)
}
