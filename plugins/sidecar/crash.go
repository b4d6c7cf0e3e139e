package sidecar

import (
	"context"
	"syscall"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/pkg/errors"
)

// targetCrashed reports whether the target of a run without an answer has crashed. It does not
// count if the target is shutting down: then it may end with requests under way.
func (s *targetSide) targetCrashed(ctx context.Context, inst *instance, h *handover) bool {
	if s.hasLeft(h) {
		return false
	}
	refuses := func() bool {
		err := inst.pool.Connect(context.Background()) // the pool applies the connect timeout
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return inst.crashes.Crashed(ctx, refuses, func(suspects []quarantine.Fingerprint) {
		overloaded := inst.overloadedWhileCold()
		if !overloaded {
			s.quarantine.RecordCrash(suspects)
		}
		s.assumeCold(inst, h.Instance, warmupFromCrash) // the next one will be
		s.log.Emit(eventTargetCrashed, event.Fields{"target": h.Instance, "fingerprints": quarantine.Texts(suspects), "overloaded_cold": overloaded})
	})
}
