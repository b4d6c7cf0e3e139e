package source

import "expvar"

// metrics holds the counters of the plug-in.
type metrics struct {
	calls       expvar.Int
	watches     expvar.Int
	failures    expvar.Int
	notFound    expvar.Int
	unchanged   expvar.Int
	fresh       expvar.Int
	backward    expvar.Int
	conflicts   expvar.Int
	corrupt     expvar.Int
	starved     expvar.Int
	pacedMillis expvar.Int
	interval    expvar.Float
	reader      expvar.Int

	bytesSent, bytesReceived expvar.Int
}

// publish adds the counters to the node's metrics.
func (m *metrics) publish(to *expvar.Map) {
	to.Set("calls", &m.calls)
	to.Set("watches", &m.watches)
	to.Set("failures", &m.failures)
	to.Set("not_found", &m.notFound)
	to.Set("unchanged", &m.unchanged)
	to.Set("fresh_values", &m.fresh)
	to.Set("backward_values", &m.backward)
	to.Set("conflicting_values", &m.conflicts)
	to.Set("corrupt_values", &m.corrupt)
	to.Set("starved_reads", &m.starved)
	to.Set("paced_ms", &m.pacedMillis)
	to.Set("call_interval_seconds", &m.interval)
	to.Set("reader", &m.reader)
	to.Set("bytes_sent", &m.bytesSent)
	to.Set("bytes_received", &m.bytesReceived)
}
