package source

import "time"

// pacer limits the rate of the calls of one node. It permits one call at each tick;
// unused ticks are saved up to the reserve and lost beyond it. The first tick is at a
// random phase, so that nodes that want to call at the same moment are spread over
// one interval. A pacer is not safe for concurrent use.
type pacer struct {
	allowance allowance
	// next is the first tick that is neither used nor saved.
	next time.Time
	// saved is the number of unused ticks saved for later calls.
	saved int
}

// newPacer returns a pacer whose first tick follows now by phase, a fraction of the
// interval from 0 to 1.
func newPacer(a allowance, now time.Time, phase float64) *pacer {
	return &pacer{allowance: a, next: now.Add(scale(a.interval, phase))}
}

// reserve reserves one call and returns the time from which it may be made, now or
// later.
func (p *pacer) reserve(now time.Time) time.Time {
	p.advance(now)
	if p.saved > 0 {
		p.saved--
		return now
	}
	at := p.next
	p.next = p.next.Add(p.allowance.interval)
	return at
}

// adjust changes the allowance. It keeps the phase within the interval, so that the
// ticks of different nodes stay spread.
func (p *pacer) adjust(a allowance, now time.Time) {
	if a == p.allowance {
		return
	}
	p.advance(now)
	phase := float64(p.next.Sub(now)) / float64(p.allowance.interval)
	p.next = now.Add(scale(a.interval, phase))
	p.allowance = a
	p.saved = min(p.saved, a.reserve)
}

// advance saves the ticks that have passed unused, up to the reserve.
func (p *pacer) advance(now time.Time) {
	if p.next.After(now) {
		return
	}
	passed := int64(now.Sub(p.next)/p.allowance.interval) + 1
	p.next = p.next.Add(time.Duration(passed) * p.allowance.interval)
	p.saved = int(min(int64(p.saved)+passed, int64(p.allowance.reserve)))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
