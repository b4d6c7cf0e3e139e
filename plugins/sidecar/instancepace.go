package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/pace"
	"github.com/bronzemast/bronzemast/plugins/sidecar/placement"
)

// observeLoad records the pace in a target's answer. A report that cannot be read is counted, and
// the first one is logged.
func (s *targetSide) observeLoad(inst *instance, head model.ResponseHead) {
	switch {
	case head.InvalidLoad != "":
		s.metrics.invalidLoads.Add(1)
		s.invalidLoad.Do(func() { s.log.Emit(eventInvalidLoad, event.Fields{"text": head.InvalidLoad}) })
	case head.Load != nil && head.Load.Pace > 0:
		inst.recordPace(head.Load.Pace, time.Now())
	}
}

// diverts reports whether a request is sent on to another target because the machine of this one
// is slow at the moment. The entry node lets a request wait for the whole timeout of its route if
// it knows of no other target with a free slot.
func (s *targetSide) diverts(h *handover, adm *admission, expected runTimes) bool {
	d := pace.Diversion{
		Usual:              expected.usual,
		Now:                expected.now,
		ObjectiveRemaining: h.ObjectiveRemaining,
		Alternative:        h.MaxQueueWait < h.ObjectiveRemaining && adm.loadAtArrival.Running > 0,
	}
	return d.Worthwhile(placement.MissProbability)
}

// slowNowAnswer returns the answer of a request that is sent on because the machine of its target
// is slow at the moment. An entry node sends the target no more such requests for a while.
func slowNowAnswer() *answer {
	a := notRunAnswer(model.ReasonOverloaded)
	a.RetryAfter, a.FullFor = slowNowRetry, slowNowRetry
	return a
}

// slowNowRetry is the time for which a target is left out after its machine was slow.
const slowNowRetry = 150 * time.Millisecond

// reportPace adds the pace of the target, and its mean run time of a route, to what is sent to
// entry nodes, if the target reports its pace.
func (i *instance) reportPace(s *targetState, route string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if !i.pace.Known(now) {
		return
	}
	s.Pace = i.pace.Factor(now)
	s.MeanRunTime = i.meanRunTimes[route]
}
