package sidecar

import (
	"context"
	"syscall"

	"github.com/bronzemast/bronzemast/event"
	"github.com/pkg/errors"
)

// targetCrashed reports whether the target of a run without an answer has crashed. Of the runs
// that a crash has ended, the first one looks whether the target accepts connections, and the
// others wait for the result.
func (s *targetSide) targetCrashed(ctx context.Context, inst *instance, h *handover) bool {
	if s.hasLeft(h) {
		return false // a target that is shutting down may end with requests under way
	}
	check, isNew := inst.crashes.ConnectionLost()
	if !isNew {
		return check.Wait(ctx)
	}
	err := inst.pool.Connect(context.Background()) // the pool applies the connect timeout
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	if crashed {
		s.quarantine.RecordCrash(check.Suspects)
		s.log.Emit(eventTargetCrashed, event.Fields{"target": h.Instance, "fingerprints": fingerprintTexts(check.Suspects)})
	}
	check.Finish(crashed)
	return crashed
}
