package distribution

import (
	"expvar"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

// maxAppliedTimes is the maximum number of releases whose time of application
// is kept.
const maxAppliedTimes = 64

// metrics contains the expvar counters of the plug-in.
type metrics struct {
	sent     map[wire.Kind]*expvar.Int
	received map[wire.Kind]*expvar.Int
	messages map[wire.Kind]*expvar.Int

	bytesSent, bytesReceived                               *expvar.Int
	duplicates, grafts, pulls, pullTimeouts                *expvar.Int
	deltasSent, wholesSent, deltasReceived, wholesReceived *expvar.Int
	refused, conflicts, corrupt                            *expvar.Int
	silentLinks, pauses, repairs                           *expvar.Int
	handshakesRejected, handshakes, dialsFailed            *expvar.Int
	queueDropped, encodeFailures, fetchFailures            *expvar.Int
	partsRead, packsRead, recordsRead                      *expvar.Int

	mu sync.Mutex
	// appliedOrder lists the keys of appliedAt, the oldest first.
	appliedOrder []uint64
	// appliedAt maps release numbers to Unix times in nanoseconds.
	appliedAt map[uint64]int64
}

// newMetrics returns counters that are published in m, or in a private map if m
// is nil.
func newMetrics(m *expvar.Map) *metrics {
	if m == nil {
		m = new(expvar.Map).Init()
	}
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	n := &metrics{
		sent:               map[wire.Kind]*expvar.Int{},
		received:           map[wire.Kind]*expvar.Int{},
		messages:           map[wire.Kind]*expvar.Int{},
		bytesSent:          counter("bytes_sent"),
		bytesReceived:      counter("bytes_received"),
		duplicates:         counter("duplicates"),
		grafts:             counter("grafts"),
		pulls:              counter("pulls"),
		pullTimeouts:       counter("pull_timeouts"),
		deltasSent:         counter("deltas_sent"),
		wholesSent:         counter("wholes_sent"),
		deltasReceived:     counter("deltas_received"),
		wholesReceived:     counter("wholes_received"),
		refused:            counter("releases_refused"),
		conflicts:          counter("release_conflicts"),
		corrupt:            counter("documents_corrupt"),
		silentLinks:        counter("links_silent"),
		pauses:             counter("pauses"),
		repairs:            counter("repair_links"),
		handshakesRejected: counter("handshakes_refused"),
		handshakes:         counter("handshakes"),
		dialsFailed:        counter("dials_failed"),
		queueDropped:       counter("queue_dropped"),
		encodeFailures:     counter("encode_failures"),
		fetchFailures:      counter("fetch_failures"),
		partsRead:          counter("parts_read"),
		packsRead:          counter("packs_read"),
		recordsRead:        counter("records_read"),
		appliedAt:          map[uint64]int64{},
	}
	for _, k := range wire.Kinds() {
		n.sent[k] = counter("sent_bytes." + k.String())
		n.received[k] = counter("received_bytes." + k.String())
		n.messages[k] = counter("sent_messages." + k.String())
	}
	m.Set("applied_at_unix_ns", expvar.Func(n.appliedTimes))
	return n
}

func (n *metrics) countSent(kind wire.Kind, size int) {
	n.sent[kind].Add(int64(size))
	n.messages[kind].Add(1)
}

func (n *metrics) countPush(whole bool) {
	if whole {
		n.wholesSent.Add(1)
		return
	}
	n.deltasSent.Add(1)
}

func (n *metrics) countReceived(whole bool) {
	if whole {
		n.wholesReceived.Add(1)
		return
	}
	n.deltasReceived.Add(1)
}

// recordApplied records when a release was first applied.
func (n *metrics) recordApplied(release uint64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.appliedAt[release]; known {
		return
	}
	n.appliedAt[release] = at.UnixNano()
	n.appliedOrder = append(n.appliedOrder, release)
	if len(n.appliedOrder) > maxAppliedTimes {
		delete(n.appliedAt, n.appliedOrder[0])
		n.appliedOrder = append([]uint64(nil), n.appliedOrder[1:]...)
	}
}

func (n *metrics) appliedTimes() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	times := make(map[uint64]int64, len(n.appliedAt))
	for release, at := range n.appliedAt {
		times[release] = at
	}
	return times
}
