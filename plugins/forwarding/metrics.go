package forwarding

import (
	"expvar"

	"github.com/bronzemast/bronzemast/model"
)

// metrics holds the counters of the plug-in.
type metrics struct {
	entryOutcomes     [3]*expvar.Int
	targetOutcomes    [3]*expvar.Int
	inquiryStates     [len(ledgerStateNames)]*expvar.Int
	retries           *expvar.Int
	budgetEmpty       *expvar.Int
	tokenFetches      *expvar.Int
	inquiries         *expvar.Int
	silentConnections *expvar.Int
	revokes           *expvar.Int
	revokesUnanswered *expvar.Int
	crossedAnswers    *expvar.Int
	abortedAnswers    *expvar.Int
	badHops           *expvar.Int
	badCrashReports   *expvar.Int
	// unknownHeaders counts responses of the target by unknown header.
	unknownHeaders expvar.Map
}

func newMetrics(m *expvar.Map) *metrics {
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	all := &metrics{
		retries:           counter("retries"),
		budgetEmpty:       counter("retry_budget_empty"),
		tokenFetches:      counter("token_fetches"),
		inquiries:         counter("inquiries"),
		silentConnections: counter("silent_connections"),
		revokes:           counter("revokes"),
		revokesUnanswered: counter("revokes_unanswered"),
		crossedAnswers:    counter("crossed_answers"),
		abortedAnswers:    counter("aborted_answers"),
		badHops:           counter("bad_hop_headers"),
		badCrashReports:   counter("bad_crash_reports"),
	}
	m.Set("unknown_headers", all.unknownHeaders.Init())
	for i := range all.entryOutcomes {
		name := model.Outcome(i).String()
		all.entryOutcomes[i] = counter("entry_" + name)
		all.targetOutcomes[i] = counter("target_" + name)
	}
	for i, name := range ledgerStateNames {
		all.inquiryStates[i] = counter("inquired_" + name)
	}
	return all
}

func (m *metrics) entryOutcome(o model.Outcome)  { m.entryOutcomes[o].Add(1) }
func (m *metrics) targetOutcome(o model.Outcome) { m.targetOutcomes[o].Add(1) }
func (m *metrics) inquired(s ledgerState)        { m.inquiryStates[s].Add(1) }
