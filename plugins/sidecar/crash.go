package sidecar

import (
	"context"
	"slices"
	"sync"
	"syscall"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/pkg/errors"
)

// crashDetector tells the crash of a target from the loss of single connections. A target has
// crashed if a connection with a request on it ends without an answer and the target then
// refuses a new one. It is safe for concurrent use.
type crashDetector struct {
	mu sync.Mutex
	// running holds the requests that the target has been sent and has not answered.
	running map[*run]struct{}
	// check is the check of the latest lost connection, nil once the target has answered.
	check *crashCheck
}

// run is a request that a target has been sent.
type run struct {
	fingerprint quarantine.Fingerprint
}

// crashCheck is a connection attempt after a lost connection.
type crashCheck struct {
	// ended is closed once crashed is set.
	ended   chan struct{}
	crashed bool
}

func newCrashDetector() *crashDetector {
	return &crashDetector{running: map[*run]struct{}{}}
}

// started records that the target is sent a request.
func (d *crashDetector) started(fingerprint quarantine.Fingerprint) *run {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &run{fingerprint: fingerprint}
	d.running[r] = struct{}{}
	return r
}

// ended records that a request was answered or given up.
func (d *crashDetector) ended(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, r)
}

// answered records that the target has answered, so that it is running.
func (d *crashDetector) answered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.check != nil && d.check.isEnded() {
		d.check = nil
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

// lost records that the connection of a run has ended without an answer. It returns the check
// whose result applies to the run. isNew is set if the caller has to make that check; suspects
// are the requests that were running then.
func (d *crashDetector) lost() (check *crashCheck, suspects []quarantine.Fingerprint, isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.check != nil && (!d.check.isEnded() || d.check.crashed) {
		return d.check, nil, false
	}
	d.check = &crashCheck{ended: make(chan struct{})}
	for r := range d.running {
		if !slices.Contains(suspects, r.fingerprint) {
			suspects = append(suspects, r.fingerprint)
		}
	}
	return d.check, suspects, true
}

// targetCrashed reports whether the target of a run without an answer has crashed. Of the runs
// that a crash has ended, the first one looks whether the target accepts connections, and the
// others wait for the result.
func (s *targetSide) targetCrashed(ctx context.Context, inst *instance, h *handover) bool {
	if s.hasLeft(h) {
		return false // a target that is shutting down may end with requests under way
	}
	check, suspects, isNew := inst.crashes.lost()
	if !isNew {
		select {
		case <-check.ended:
			return check.crashed
		case <-ctx.Done():
			return false
		}
	}
	check.crashed = errors.Is(inst.pool.Connect(context.Background()), syscall.ECONNREFUSED) // the pool applies the connect timeout
	close(check.ended)
	if check.crashed {
		s.reportCrash(h, suspects)
	}
	return check.crashed
}

// reportCrash logs that the target has crashed and which requests it was running.
func (s *targetSide) reportCrash(h *handover, suspects []quarantine.Fingerprint) {
	s.log.Emit(eventTargetCrashed, event.Fields{
		"target":       h.Instance,
		"running":      len(suspects),
		"fingerprints": suspects,
	})
}
