package quarantine

import (
	"context"
	"slices"
	"sync"
)

// Detector tells the crash of a target from the loss of single connections, and names the
// requests that a crash may be due to. A target has crashed if a connection with a request on it
// ends without an answer and the target then refuses a new one. A Detector is safe for concurrent
// use.
type Detector struct {
	mu sync.Mutex
	// running holds the requests that the target has been sent and has not answered.
	running map[*Run]struct{}
	// completed holds requests that the target has completed. They are not suspected.
	completed Completed
	// check is the check after the latest lost connection, nil once the target is known to run
	// again.
	check *crashCheck
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

// Crashed reports whether the target of a run whose connection has ended without an answer has
// crashed. For the first run of a crash that ends, it calls refuses, which reports whether the
// target refuses a connection, and then report with the suspects; the other runs wait for the
// result, at most until ctx ends.
func (d *Detector) Crashed(ctx context.Context, refuses func() bool, report func(suspects []Fingerprint)) bool {
	check, isNew := d.connectionLost()
	if !isNew {
		return check.wait(ctx)
	}
	crashed := refuses()
	if crashed {
		report(check.suspects)
	}
	check.finish(crashed)
	return crashed
}

// connectionLost returns the check whose result applies to a run that has just lost its
// connection. If the check is new, the caller has to make it.
func (d *Detector) connectionLost() (check *crashCheck, isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.check != nil && (!d.check.isEnded() || d.check.crashed) {
		return d.check, false
	}
	d.check = &crashCheck{detector: d, ended: make(chan struct{})}
	for r := range d.running {
		if !d.completed.Includes(r.fingerprint) && !slices.Contains(d.check.suspects, r.fingerprint) {
			d.check.suspects = append(d.check.suspects, r.fingerprint)
		}
	}
	return d.check, true
}

// crashCheck is the connection attempt after a lost connection.
type crashCheck struct {
	detector *Detector
	// suspects are the requests that were running when the connection was lost, without those
	// that the target has completed before.
	suspects []Fingerprint
	// ended is closed once crashed is set.
	ended   chan struct{}
	crashed bool
}

// finish sets the result of the check.
func (c *crashCheck) finish(crashed bool) {
	c.detector.mu.Lock()
	defer c.detector.mu.Unlock()
	c.crashed = crashed
	if crashed {
		c.detector.completed = Completed{} // another incarnation will start
	}
	close(c.ended)
}

// wait returns the result of the check, false if ctx ends before it is known.
func (c *crashCheck) wait(ctx context.Context) (crashed bool) {
	select {
	case <-c.ended:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}

func (c *crashCheck) isEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}
