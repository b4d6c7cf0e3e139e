package admission

import "time"

const (
	// inflationFactor is the inflation of the service time over its baseline
	// above which a lower limit is tried.
	inflationFactor = 1.3
	// probeFactor multiplies the limit for a probe.
	probeFactor = 0.75
	// minThroughputKept is the fraction of the throughput that a lower limit
	// must retain. It retains all of it if calls slowed one another down, and
	// loses a quarter of it if the target waits for something else.
	minThroughputKept = 0.9
	// minProbeTime and minProbeResults are the least length of a measurement.
	minProbeTime    = 500 * time.Millisecond
	minProbeResults = 100
	// probeCooldown is the time without probes after one that lost throughput.
	probeCooldown = 30 * time.Second
)

// throughputSample is the work finished in one or more windows.
type throughputSample struct {
	cost    float64
	results int
	elapsed time.Duration
	// saturated is set if all slots of the limit were in use, inflated if the
	// service time is above inflationFactor times its baseline.
	saturated, inflated bool
}

// probeAction tells the limiter how to change the limit.
type probeAction uint8

const (
	// probeNone lets the limit recover.
	probeNone probeAction = iota
	// probeWait leaves the limit unchanged while throughput is measured.
	probeWait
	// probeLower lowers the limit and starts the probe.
	probeLower
	// probeKeep keeps the lower limit.
	probeKeep
	// probeRevert restores the limit before the probe.
	probeRevert
)

// probe tests whether a lower limit keeps the throughput. It measures the
// throughput of a saturated target before and after lowering the limit.
type probe struct {
	active           bool
	limitBefore      float64
	throughputBefore float64 // in cost per second
	cooldownUntil    time.Time
	measured         throughputSample
}

func (p *probe) observe(now time.Time, s throughputSample) probeAction {
	if !p.active && (!s.inflated || now.Before(p.cooldownUntil)) {
		p.measured = throughputSample{}
		return probeNone
	}
	if !s.saturated {
		return p.endUnsaturated()
	}
	p.measured.cost += s.cost
	p.measured.results += s.results
	p.measured.elapsed += s.elapsed
	if p.measured.results < minProbeResults || p.measured.elapsed < minProbeTime {
		return probeWait
	}
	throughput := p.measured.cost / p.measured.elapsed.Seconds()
	p.measured = throughputSample{}
	return p.evaluate(now, throughput)
}

func (p *probe) evaluate(now time.Time, throughput float64) probeAction {
	if !p.active {
		p.active = true
		p.throughputBefore = throughput
		return probeLower
	}
	p.active = false
	if throughput >= minThroughputKept*p.throughputBefore {
		return probeKeep
	}
	p.cooldownUntil = now.Add(probeCooldown)
	return probeRevert
}

// endUnsaturated ends a measurement because the target is no longer saturated.
func (p *probe) endUnsaturated() probeAction {
	p.measured = throughputSample{}
	if !p.active {
		return probeNone
	}
	p.active = false
	return probeRevert
}

// abort ends a probe without a result.
func (p *probe) abort() {
	p.active = false
	p.measured = throughputSample{}
}
