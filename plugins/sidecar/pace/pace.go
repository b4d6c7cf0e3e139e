// Package pace follows how fast the machine of a target works at this moment. Targets share
// their machines with others, so that a run may take several times as long as usual for some
// hundred milliseconds. The load that it answers is one in which a request meets its objective on
// most targets and misses it on those whose machines are slow just then: it is better sent on
// than run there. It does no I/O.
package pace

import (
	"math"
	"time"
)

const (
	// halfLife is that of a report. A machine is slow for about twice as long.
	halfLife = 300 * time.Millisecond
	// maxPace bounds a report.
	maxPace = 20
)

// Pace is the latest report of a target: how long work takes, relative to usual. The zero value
// has no report. It is not safe for concurrent use.
type Pace struct {
	value float64
	at    time.Time
}

// Report records a report that is as of a time. One that is not positive is ignored, and so is one
// that is older than the latest.
func (p *Pace) Report(value float64, at time.Time) {
	if value <= 0 || math.IsNaN(value) || at.Before(p.at) {
		return
	}
	p.value, p.at = min(value, maxPace), at
}

// Known reports whether the target has reported lately.
func (p *Pace) Known(now time.Time) bool {
	return p.value > 0 && now.Sub(p.at) < 4*halfLife
}

// Factor returns how long work takes at a time, relative to usual. It approaches 1 as the report
// ages.
func (p *Pace) Factor(now time.Time) float64 {
	if p.value == 0 {
		return 1
	}
	age := max(now.Sub(p.at), 0)
	return 1 + (p.value-1)*math.Exp2(-float64(age)/float64(halfLife))
}

// Mean returns the mean factor over a run that began at a factor and ends now.
func (p *Pace) Mean(atStart float64, now time.Time) float64 {
	return (atStart + p.Factor(now)) / 2
}
