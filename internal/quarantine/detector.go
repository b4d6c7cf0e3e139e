package quarantine

import (
	"context"
	"slices"
	"sync"
)

// Detector tells the crash of a target from the loss of single connections, and names the
// requests that a crash may be due to. A target has crashed if a connection with a request on it
// ends without an answer and the target then refuses a new one. The connection attempt is left
// to the caller. A Detector is safe for concurrent use.
type Detector struct {
	mu sync.Mutex
	// running holds the requests that the target has been sent and has not answered.
	running map[*Run]struct{}
	// completed holds requests that the target has completed. They are not suspected.
	completed Completed
	// check is the check after the latest lost connection, nil once the target is known to run
	// again.
	check *CrashCheck
}

// Run is a request that a target has been sent.
type Run struct {
	fingerprint Fingerprint
}

// NewDetector returns a detector for a target that runs.
func NewDetector() *Detector {
	return &Detector{running: map[*Run]struct{}{}}
}

// Started records that the target is sent a request.
func (d *Detector) Started(f Fingerprint) *Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &Run{fingerprint: f}
	d.running[r] = struct{}{}
	return r
}

// Ended records that a request was completed or given up.
func (d *Detector) Ended(r *Run, completed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, r)
	if completed {
		d.completed.Add(r.fingerprint)
	}
}

// Reached records that the target has accepted a connection or answered, so that it is running.
func (d *Detector) Reached() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.check != nil && d.check.isEnded() {
		d.check = nil
	}
}

// ConnectionLost records that the connection of a run has ended without an answer. It returns
// the check whose result applies to the run. If the check is new, the caller has to make it:
// connect to the target and call Finish.
func (d *Detector) ConnectionLost() (check *CrashCheck, isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.check != nil && (!d.check.isEnded() || d.check.crashed) {
		return d.check, false
	}
	d.check = &CrashCheck{detector: d, ended: make(chan struct{})}
	for r := range d.running {
		if !d.completed.Includes(r.fingerprint) && !slices.Contains(d.check.Suspects, r.fingerprint) {
			d.check.Suspects = append(d.check.Suspects, r.fingerprint)
		}
	}
	return d.check, true
}

// CrashCheck is the connection attempt after a lost connection.
type CrashCheck struct {
	// Suspects are the requests that were running when the connection was lost, without those
	// that the target has completed before.
	Suspects []Fingerprint

	detector *Detector
	// ended is closed once crashed is set.
	ended   chan struct{}
	crashed bool
}

// Finish sets the result of the check.
func (c *CrashCheck) Finish(crashed bool) {
	c.detector.mu.Lock()
	defer c.detector.mu.Unlock()
	c.crashed = crashed
	if crashed {
		c.detector.completed = Completed{} // another incarnation will start
	}
	close(c.ended)
}

// Wait returns the result of the check, false if ctx ends before it is known.
func (c *CrashCheck) Wait(ctx context.Context) (crashed bool) {
	select {
	case <-c.ended:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}

func (c *CrashCheck) isEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}
