package model

import ()

// Drainer takes the node out of service. The plug-in "draining" provides it.
type Drainer interface {
	// Stage returns the current stage.
	Stage() DrainStage
	// Drain starts draining; further calls have no effect.
	Drain(cause string)
	// Enter registers a call in flight. It returns false if the node no longer
	// accepts new work in that role. Each true result requires one call of Leave.
	Enter(role Role) bool
	// Leave unregisters a call that Enter has registered.
	Leave(role Role)
	// Done returns a channel that is closed once the node has drained.
	Done() <-chan struct{}
	// Subscribe calls f at each change of stage. It must be called before the
	// node starts.
	Subscribe(f func(DrainStage))
}

// DrainStage is a stage of draining. It only increases.
type DrainStage uint8

// The stages of draining.
const (
	// StageServing accepts all work.
	StageServing DrainStage = iota
	// StageRefusing rejects new work for the target; calls in flight continue.
	StageRefusing
	// StageFinishing rejects all new work and waits for calls in flight.
	StageFinishing
	// StageDone means that no call is in flight.
	StageDone
)

var drainStageNames = [...]string{"serving", "refusing", "finishing", "done"}

// String returns the lower-case name of the stage.
func (s DrainStage) String() string {
	if int(s) < len(drainStageNames) {
		return drainStageNames[s]
	}
	return "invalid"
}
