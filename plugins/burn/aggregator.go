package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/burn/slo"
)

const (
	// maxSeries bounds the series, the combinations of service, role and caller;
	// beyond it new callers of a service and role share one series.
	maxSeries = 2048
	// otherCallers is the caller name of the shared series.
	otherCallers = "(others)"
	// maxHistograms bounds the number of services with latency histograms.
	maxHistograms = 256
	// maxRecentBad is the number of calls that missed their objective of which
	// the details are kept.
	maxRecentBad = 64
)

// seriesKey identifies a series.
type seriesKey struct {
	service string
	role    model.Role
	caller  string
}

// BadCall describes a call that missed its objective.
type BadCall struct {
	At          time.Time     `json:"at"`
	Service     string        `json:"service"`
	Route       string        `json:"route"`
	Caller      string        `json:"caller"`
	Role        string        `json:"role"`
	Class       string        `json:"class"`
	Outcome     string        `json:"outcome"`
	Reason      model.Reason  `json:"reason,omitempty"`
	Status      int           `json:"status"`
	Latency     time.Duration `json:"latency_ns"`
	ServiceTime time.Duration `json:"service_time_ns"`
	OverShare   bool          `json:"over_share"`
	Retries     int           `json:"retries"`
}

// aggregator counts finished calls. It is safe for concurrent use.
type aggregator struct {
	mu        sync.Mutex
	steps     windowSteps
	series    map[seriesKey]*series
	latencies map[string]*latencies
	// recent is a ring buffer of bad calls; once it is full, nextBad is the index of
	// the oldest one.
	recent  []BadCall
	nextBad int
}

// latencies holds the histograms of a service: the latencies of calls that entered
// at this node, and the service times of its local target.
type latencies struct {
	latency, serviceTime rotatingHistogram
}

// rotatingHistogram keeps one histogram for the current period, which starts at
// from, and one for the previous period, so that together they cover at least one
// whole period.
type rotatingHistogram struct {
	from              time.Time
	current, previous *hdrhistogram.Histogram
}

func newAggregator(steps windowSteps) *aggregator {
	return &aggregator{
		steps:     steps,
		series:    map[seriesKey]*series{},
		latencies: map[string]*latencies{},
		recent:    make([]BadCall, 0, maxRecentBad),
	}
}

// add counts a call, classified by the latency objective of its service.
func (agg *aggregator) add(r model.CallRecord, objective time.Duration) {
	class := slo.Classify(r, objective)
	agg.mu.Lock()
	defer agg.mu.Unlock()
	overShare := r.OverShare || r.Reason == model.ReasonOverShare
	agg.seriesFor(r).add(r.At, agg.steps, class, overShare)
	agg.recordLatency(r, class)
	if class == slo.ClassSlow || class == slo.ClassFailed || class == slo.ClassShed || class == slo.ClassQuarantined {
		agg.recordBadCall(r, class)
	}
}

func (agg *aggregator) seriesFor(r model.CallRecord) *series {
	key := seriesKey{service: r.Service, role: r.Role, caller: r.Caller}
	if s, ok := agg.series[key]; ok {
		return s
	}
	if len(agg.series) >= maxSeries {
		agg.dropIdleSeries(r.At)
	}
	if len(agg.series) >= maxSeries {
		key.caller = otherCallers
	}
	s := agg.series[key]
	if s == nil {
		s = &series{}
		agg.series[key] = s
	}
	return s
}

// dropIdleSeries drops the series without calls in the long window.
func (agg *aggregator) dropIdleSeries(now time.Time) {
	oldest := now.Add(-bucketsPerWindow * agg.steps.long)
	for key, s := range agg.series {
		if s.last.Before(oldest) {
			delete(agg.series, key)
		}
	}
}

func (agg *aggregator) recordLatency(r model.CallRecord, class slo.Class) {
	if class != slo.ClassGood && class != slo.ClassSlow {
		return
	}
	l := agg.latencies[r.Service]
	if l == nil {
		if len(agg.latencies) >= maxHistograms {
			return
		}
		l = &latencies{}
		agg.latencies[r.Service] = l
	}
	period := bucketsPerWindow * agg.steps.short
	if r.Role == model.RoleEntry {
		l.latency.record(r.At, period, r.Latency)
	} else {
		l.serviceTime.record(r.At, period, r.ServiceTime)
	}
}

func (h *rotatingHistogram) record(at time.Time, period, d time.Duration) {
	h.advance(at, period)
	slo.RecordDuration(h.current, d)
}

// advance starts a new period if the current one is over at the given time.
func (h *rotatingHistogram) advance(at time.Time, period time.Duration) {
	switch age := at.Sub(h.from); {
	case h.current == nil || age >= 2*period:
		h.from, h.current, h.previous = at, slo.NewHistogram(), nil
	case age >= period:
		h.from, h.current, h.previous = at, slo.NewHistogram(), h.current
	}
}

// encode returns the encoded sum of both periods, empty if nothing was recorded.
func (h *rotatingHistogram) encode(now time.Time, period time.Duration) (string, error) {
	if h.current == nil {
		return "", nil
	}
	h.advance(now, period)
	sum := slo.NewHistogram()
	sum.Merge(h.current)
	if h.previous != nil {
		sum.Merge(h.previous)
	}
	return slo.EncodeHistogram(sum)
}

func (agg *aggregator) recordBadCall(r model.CallRecord, class slo.Class) {
	bad := BadCall{
		At:          r.At,
		Service:     r.Service,
		Route:       r.Route,
		Caller:      r.Caller,
		Role:        r.Role.String(),
		Class:       class.String(),
		Outcome:     r.Outcome.String(),
		Reason:      r.Reason,
		Status:      r.Status,
		Latency:     r.Latency,
		ServiceTime: r.ServiceTime,
		OverShare:   r.OverShare,
		Retries:     r.Retries,
	}
	if len(agg.recent) < maxRecentBad {
		agg.recent = append(agg.recent, bad)
		return
	}
	agg.recent[agg.nextBad] = bad
	agg.nextBad = (agg.nextBad + 1) % maxRecentBad
}

// recentBad returns the recent calls that missed their objective, newest first.
func (agg *aggregator) recentBad() []BadCall {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	bad := slices.Clone(agg.recent)
	slices.SortStableFunc(bad, func(a, b BadCall) int { return b.At.Compare(a.At) })
	return bad
}

// windows returns the counts of a service by caller over the short and the long
// window, which end at now.
func (agg *aggregator) windows(now time.Time, service string) (short, long slo.Callers) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	short, long = slo.Callers{}, slo.Callers{}
	shortEpoch, longEpoch := epochOf(now, agg.steps.short), epochOf(now, agg.steps.long)
	for key, s := range agg.series {
		if key.service == service {
			addCounts(short, key, s.short.sum(shortEpoch))
			addCounts(long, key, s.long.sum(longEpoch))
		}
	}
	return short, long
}

func addCounts(callers slo.Callers, key seriesKey, counts slo.Counts) {
	if counts == (slo.Counts{}) {
		return
	}
	if key.role == model.RoleEntry {
		callers.Add(key.caller, slo.SideCounts{Entry: counts})
		return
	}
	callers.Add(key.caller, slo.SideCounts{Target: counts})
}

// timeline returns the buckets of the long window, oldest first.
func (agg *aggregator) timeline(now time.Time, service string) []slo.Point {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	last := epochOf(now, agg.steps.long)
	points := make([]slo.Point, bucketsPerWindow)
	for i := range points {
		epoch := last - bucketsPerWindow + 1 + int64(i)
		points[i] = slo.Point{From: time.Unix(0, epoch*int64(agg.steps.long)).UTC(), Callers: slo.Callers{}}
	}
	for key, s := range agg.series {
		if key.service != service {
			continue
		}
		for _, b := range s.long {
			if i := b.epoch - (last - bucketsPerWindow + 1); i >= 0 && i < bucketsPerWindow {
				addCounts(points[i].Callers, key, b.counts)
			}
		}
	}
	return points
}

// histograms returns the encoded latency and service time histograms of a service.
func (agg *aggregator) histograms(now time.Time, service string) (latency, serviceTime string, err error) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	l := agg.latencies[service]
	if l == nil {
		return "", "", nil
	}
	period := bucketsPerWindow * agg.steps.short
	if latency, err = l.latency.encode(now, period); err != nil {
		return "", "", err
	}
	serviceTime, err = l.serviceTime.encode(now, period)
	return latency, serviceTime, err
}

// SeriesTotal holds the counts of one series over the short window.
type SeriesTotal struct {
	Service string     `json:"service"`
	Role    string     `json:"role"`
	Caller  string     `json:"caller"`
	Counts  slo.Counts `json:"counts"`
}

// totals returns the counts of all series with calls in the short window.
func (agg *aggregator) totals(now time.Time) []SeriesTotal {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	epoch := epochOf(now, agg.steps.short)
	totals := make([]SeriesTotal, 0, len(agg.series))
	for key, s := range agg.series {
		if counts := s.short.sum(epoch); counts != (slo.Counts{}) {
			totals = append(totals, SeriesTotal{Service: key.service, Role: key.role.String(), Caller: key.caller, Counts: counts})
		}
	}
	slices.SortFunc(totals, func(a, b SeriesTotal) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Caller, b.Caller))
	})
	return totals
}

// services returns the names of the services whose calls entered at this node.
func (agg *aggregator) services() []string {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	var names []string
	for key := range agg.series {
		if key.role == model.RoleEntry && key.service != "" {
			names = append(names, key.service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// size returns the number of series.
func (agg *aggregator) size() int {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	return len(agg.series)
}
