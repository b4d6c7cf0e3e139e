package admission

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/event"
)

const (
	// reportInterval is the interval between checks for overload.
	reportInterval = time.Second
	// reliefIntervals is the number of intervals without a shed call after
	// which an overload is over.
	reliefIntervals = 5
)

// overloadState detects the start and the end of an overload.
type overloadState struct {
	shed           uint64
	overloaded     bool
	quietIntervals int
}

// overloadChange is the change that an observation made.
type overloadChange uint8

const (
	overloadUnchanged overloadChange = iota
	overloadBegan
	overloadEnded
)

// observe updates the state from the total number of shed calls.
func (s *overloadState) observe(shed uint64) overloadChange {
	increased := shed != s.shed
	s.shed = shed
	switch {
	case increased && !s.overloaded:
		s.overloaded, s.quietIntervals = true, 0
		return overloadBegan
	case increased:
		s.quietIntervals = 0
	case s.overloaded:
		s.quietIntervals++
	}
	if s.overloaded && s.quietIntervals >= reliefIntervals {
		s.overloaded = false
		return overloadEnded
	}
	return overloadUnchanged
}

// reportOverload logs the start and the end of each overload.
func (a *Admission) reportOverload(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var state overloadState
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.logOverload(state.observe(a.gate.shedTotal()))
	}
}

func (a *Admission) logOverload(change overloadChange) {
	if change == overloadUnchanged {
		return
	}
	capacity := a.gate.capacity()
	fields := event.Fields{"service": a.service, "limit": int(capacity.Limit), "slots": capacity.Slots}
	if change == overloadEnded {
		a.ctx.Log().Emit(eventRelieved, fields)
		return
	}
	fields["in_excess"] = strings.Join(a.gate.inExcess(), ",")
	a.ctx.Log().Emit(eventOverloaded, fields)
}

func (l *lockedGate) shedTotal() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.shed
}

// inExcess returns the names of the callers whose demand exceeds shareTolerance
// times their fair share of the nominal capacity.
func (l *lockedGate) inExcess() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for _, c := range l.gate.callers {
		if c.demand > shareTolerance*l.gate.nominalLevel*c.weight {
			names = append(names, c.name)
		}
	}
	slices.Sort(names)
	return names
}
