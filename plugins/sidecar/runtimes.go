package sidecar

import "time"

const (
	// runTimeWeight is the weight of a new run time in the mean of its route.
	runTimeWeight = 0.05
	// slowdownWeight is the weight of a new run in the target's slowdown. Samples that
	// differ from the current value by more than outlierFactor, in either direction, have
	// outlierWeight instead, so that a slow target is detected after a few runs and a
	// recovered one as quickly.
	slowdownWeight = 0.1
	outlierFactor  = 3
	outlierWeight  = 0.25
	// maxSlowdown bounds the sample of a single run.
	maxSlowdown = 20
)

// failureWeight is the weight of a new result in the failure rate. A target that fails half
// of its requests is detected after a few of them.
const failureWeight = 0.08

// runTimes is what the node beside a target expects of a run.
type runTimes struct {
	// usual is the expected run time at the usual pace of the target's machine, and now at
	// that of this moment.
	usual, now time.Duration
	// pace is the factor between the two.
	pace float64
}

// expectedRunTimes returns the expected run time of a request of a route: the route's mean times
// the lasting slowdown, and that times the current pace. Without samples it assumes a third of the
// objective.
func (i *instance) expectedRunTimes(route string, objective time.Duration) runTimes {
	i.mu.Lock()
	defer i.mu.Unlock()
	runTime, ok := i.meanRunTimes[route]
	if !ok {
		runTime = objective / 3
	}
	usual := float64(runTime) * i.slowdown
	factor := i.pace.Factor(time.Now())
	return runTimes{usual: time.Duration(usual), now: time.Duration(usual * factor), pace: factor}
}

// recordPace records the pace that the target has reported as of a time.
func (i *instance) recordPace(value float64, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pace.Report(value, at)
}

// currentPace returns the factor of the pace at this moment.
func (i *instance) currentPace() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.pace.Factor(time.Now())
}

// recordRun records a run that ended with a complete answer. pace is the factor at its start.
func (i *instance) recordRun(route string, runTime time.Duration, pace float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	atUsualPace := float64(runTime) / i.pace.Mean(pace, time.Now())
	normalized := time.Duration(atUsualPace / i.slowdown)
	mean, known := i.meanRunTimes[route]
	if !known {
		i.meanRunTimes[route] = normalized
		return
	}
	i.recordSlowdown(atUsualPace / float64(max(mean, time.Millisecond)))
	i.meanRunTimes[route] = mean + time.Duration(runTimeWeight*float64(normalized-mean))
}

// recordUnfinishedRun records a run that was canceled after a time. That time is only a
// lower bound of the run time, so it counts only if it exceeds the current slowdown.
func (i *instance) recordUnfinishedRun(route string, runTime time.Duration, pace float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	mean, known := i.meanRunTimes[route]
	if !known {
		return
	}
	atUsualPace := float64(runTime) / i.pace.Mean(pace, time.Now())
	if sample := atUsualPace / float64(max(mean, time.Millisecond)); sample > i.slowdown {
		i.recordSlowdown(sample)
	}
}

// recordSlowdown updates the slowdown by a run time relative to the mean of its route. The
// caller holds mu.
func (i *instance) recordSlowdown(sample float64) {
	sample = min(sample, maxSlowdown)
	weight := slowdownWeight
	if sample > outlierFactor*i.slowdown || i.slowdown > outlierFactor*sample {
		weight = outlierWeight
	}
	i.slowdown += weight * (sample - i.slowdown)
}

// recordResult updates the failure rate by whether the target failed a request.
func (i *instance) recordResult(failed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.failureRate.add(failed, time.Now())
}

// decayingRate is an exponentially weighted rate of a yes-or-no event. It also decays with
// time, so that old results don't count against a target that gets few requests.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

// at returns the rate as of a time.
func (r *decayingRate) at(now time.Time) float64 {
	return r.value * decay(now.Sub(r.updatedAt), failureHalfLife)
}

func (r *decayingRate) add(happened bool, now time.Time) {
	sample := 0.0
	if happened {
		sample = 1
	}
	value := r.at(now)
	r.value = value + failureWeight*(sample-value)
	r.updatedAt = now
}
