package admission

import (
	"slices"
	"time"
)

const (
	// limitWindow is the interval at which the limit is adjusted.
	limitWindow = 100 * time.Millisecond
	// minFailureSamples is the number of results in a window from which its
	// failures are evaluated, failureThreshold the fraction of failed results
	// that counts as congestion.
	minFailureSamples = 5
	failureThreshold  = 0.5
	// minTimeSamples is the number of service times required for a mean.
	minTimeSamples = 20
	// The baseline of the service time covers the last baselineWindows windows
	// of baselineWindow each.
	baselineWindow  = 10 * time.Second
	baselineWindows = 60
	// decreaseFactor multiplies the limit on shed or failed calls.
	decreaseFactor = 0.85
	// Below fastRecoveryFraction of the limit at the last congestion, the limit
	// grows by fastRecoveryStep of the slots per window.
	fastRecoveryFraction = 0.9
	fastRecoveryStep     = 0.1
	// Above that, the n-th window since the congestion adds n times
	// slowRecoveryStep of the slots: the limit stays near the congested one at
	// first and then rises ever faster.
	slowRecoveryStep = 0.00025
)

// limiter adapts the limit of concurrent calls at a target. The slots of the
// service are its upper bound.
type limiter struct {
	slots int
	limit float64
	// congestedLimit is the limit at the last congestion,
	// windowsSinceCongestion the number of windows since then.
	congestedLimit         float64
	windowsSinceCongestion int

	windowEnd time.Time
	window    windowResults
	recent    meanServiceTime
	baseline  baseline
	probe     probe
}

// windowResults are the results of one window.
type windowResults struct {
	results, failed int
	cost            float64
	// saturated is set if all slots of the limit were in use, decreased if the
	// limit was decreased.
	saturated, decreased bool
}

func newLimiter(slots int) limiter {
	slots = max(slots, 1)
	return limiter{slots: slots, limit: float64(slots), congestedLimit: float64(slots)}
}

// value returns the limit as a whole number of calls, at least one.
func (l *limiter) value() int {
	return max(int(l.limit), 1)
}

// setSlots sets the upper bound after a change of the configuration. A limit at
// the former bound moves to the new one.
func (l *limiter) setSlots(slots int) {
	slots = max(slots, 1)
	if slots == l.slots {
		return
	}
	if float64(l.slots) == l.limit {
		l.limit = float64(slots)
	}
	l.slots = slots
	l.limit = min(l.limit, float64(slots))
	l.congestedLimit = float64(slots)
	l.probe = probe{}
}

// result is the outcome of one call at the target.
type result struct {
	cost         float64
	serviceTime  time.Duration
	shed, failed bool
}

func (l *limiter) observe(now time.Time, r result) {
	l.window.results++
	switch {
	case r.shed:
		l.decrease()
	case r.failed:
		l.window.failed++
	default:
		l.window.cost += r.cost
		l.recent.add(r)
		l.baseline.add(now, r)
	}
}

// markSaturated records that all slots of the limit are in use.
func (l *limiter) markSaturated() {
	l.window.saturated = true
}

// advance adjusts the limit at the end of a window.
func (l *limiter) advance(now time.Time, elapsed time.Duration) {
	if now.Before(l.windowEnd) {
		return
	}
	l.windowEnd = now.Add(limitWindow)
	l.recent.advance()
	if l.failing() {
		l.decrease()
	}
	if l.window.decreased {
		l.probe.abort()
	} else {
		l.applyProbe(now, elapsed)
	}
	l.window = windowResults{}
}

func (l *limiter) failing() bool {
	w := l.window
	return w.results >= minFailureSamples && float64(w.failed) >= failureThreshold*float64(w.results)
}

// decrease lowers the limit, at most once per window.
func (l *limiter) decrease() {
	if l.window.decreased {
		return
	}
	l.window.decreased = true
	l.congestedLimit = l.limit
	l.windowsSinceCongestion = 0
	l.limit = max(l.limit*decreaseFactor, 1)
}

// applyProbe raises the limit, unless the service time indicates that concurrent
// calls may slow one another down; then it applies the steps of the probe.
func (l *limiter) applyProbe(now time.Time, elapsed time.Duration) {
	inflated := l.inflation() > inflationFactor
	sample := throughputSample{
		cost:      l.window.cost,
		results:   l.window.results,
		elapsed:   elapsed,
		saturated: l.window.saturated,
		inflated:  inflated,
	}
	switch l.probe.observe(now, sample) {
	case probeLower:
		l.probe.limitBefore = l.limit
		l.limit = max(l.limit*probeFactor, 1)
	case probeKeep:
		l.congestedLimit = l.limit
		l.windowsSinceCongestion = 0
	case probeRevert:
		l.limit = min(l.probe.limitBefore, float64(l.slots))
	case probeNone:
		l.recover()
	}
}

// inflation returns the recent service time as a multiple of its baseline.
func (l *limiter) inflation() float64 {
	base := l.baseline.perCost()
	if base == 0 {
		return 1
	}
	return l.recent.perCost() / base
}

func (l *limiter) recover() {
	l.windowsSinceCongestion++
	slots := float64(l.slots)
	if fastRecoveryLimit := fastRecoveryFraction * l.congestedLimit; l.limit < fastRecoveryLimit {
		l.limit = min(l.limit+fastRecoveryStep*slots, fastRecoveryLimit)
		return
	}
	l.limit = min(l.limit+slowRecoveryStep*slots*float64(l.windowsSinceCongestion), slots)
	l.congestedLimit = max(l.congestedLimit, l.limit)
}

// capacity returns the cost per second that the target can finish at the current
// limit and service time. known is false before the first service times.
func (l *limiter) capacity() (perSecond float64, known bool) {
	return costRate(float64(l.value()), l.recent.perCost())
}

// nominalCapacity returns the cost per second that the target finishes with all
// of its slots at the baseline service time.
func (l *limiter) nominalCapacity() (perSecond float64, known bool) {
	base := l.baseline.perCost()
	if base == 0 {
		base = l.recent.perCost()
	}
	return costRate(float64(l.slots), base)
}

func costRate(slots, perCost float64) (perSecond float64, known bool) {
	if perCost <= 0 {
		return 0, false
	}
	return slots / perCost, true
}

// meanServiceTime is the mean service time per unit of cost, in seconds.
type meanServiceTime struct {
	mean    float64
	timeSum float64
	costSum float64
	count   int
}

func (m *meanServiceTime) add(r result) {
	m.timeSum += r.serviceTime.Seconds()
	m.costSum += r.cost
	m.count++
}

// advance replaces the mean by that of the collected times if there are at least
// minTimeSamples.
func (m *meanServiceTime) advance() {
	if m.count < minTimeSamples {
		return
	}
	m.mean = m.timeSum / m.costSum
	m.timeSum, m.costSum, m.count = 0, 0, 0
}

// perCost returns the mean. Until there are enough times for one, it is that of the
// times collected so far.
func (m *meanServiceTime) perCost() float64 {
	if m.mean > 0 || m.costSum == 0 {
		return m.mean
	}
	return m.timeSum / m.costSum
}

// baseline is the nominal service time per unit of cost: the lower quartile of
// the means of the last windows. A target that becomes slow is compared with its
// earlier service time.
type baseline struct {
	end     time.Time
	current meanServiceTime
	means   []float64
	next    int
	value   float64
}

func (b *baseline) add(now time.Time, r result) {
	if b.end.IsZero() {
		b.end = now.Add(baselineWindow)
	}
	if !now.Before(b.end) && b.current.count >= minTimeSamples {
		b.closeWindow()
		b.end = now.Add(baselineWindow)
	}
	b.current.add(r)
}

func (b *baseline) closeWindow() {
	mean := b.current.timeSum / b.current.costSum
	b.current = meanServiceTime{}
	if len(b.means) < baselineWindows {
		b.means = append(b.means, mean)
	} else {
		b.means[b.next] = mean
		b.next = (b.next + 1) % baselineWindows
	}
	sorted := slices.Sorted(slices.Values(b.means))
	b.value = sorted[len(sorted)/4]
}

// perCost returns the baseline in seconds, 0 before the first complete window.
func (b *baseline) perCost() float64 {
	return b.value
}
