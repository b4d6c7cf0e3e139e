package retrybudget

import "time"

// counterSteps is the number of steps into which a window is divided.
const counterSteps = 20

// windowCounter counts events in the window before now, to a step of the window. It counts none
// that is older than the window.
type windowCounter struct {
	counts [counterSteps]float64
	// step is the number of the current step since the epoch.
	step int64
}

// add counts an event.
func (c *windowCounter) add(now time.Time, window time.Duration) {
	c.advance(now, window)
	c.counts[c.step%counterSteps]++
}

// within returns the number of events in the window.
func (c *windowCounter) within(now time.Time, window time.Duration) float64 {
	c.advance(now, window)
	sum := 0.0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance clears the steps that have begun since the last call.
func (c *windowCounter) advance(now time.Time, window time.Duration) {
	step := now.UnixNano() / max(int64(window)/counterSteps, 1)
	first := max(c.step+1, step-counterSteps+1)
	for i := first; i <= step; i++ {
		c.counts[i%counterSteps] = 0
	}
	c.step = max(c.step, step)
}
