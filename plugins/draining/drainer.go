package draining

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/sirupsen/logrus"
)

var (
	eventStage = event.Define(event.Event{
		Number:  1800,
		Level:   logrus.InfoLevel,
		Message: "drain stage changed",
		Fields:  []string{"stage", "cause", "in_flight_entry", "in_flight_target"},
		Meaning: "The node is draining. The stages are refusing, finishing and done, in this order.",
		Action:  "None; remove the host only after the stage done.",
	})
	eventLimitExceeded = event.Define(event.Event{
		Number:  1801,
		Level:   logrus.ErrorLevel,
		Message: "calls in flight outlived the drain limit",
		Fields:  []string{"in_flight_entry", "in_flight_target"},
		Meaning: "Calls were still in flight when the time limit of draining expired. They are aborted.",
		Action:  "Raise draining.limit above the longest deadline of any call.",
	})
)

// drainer tracks the calls in flight and takes the node through the drain stages.
type drainer struct {
	settings *Settings
	fleet    model.Fleet
	log      *event.Log
	hooks    *kernel.Hooks
	// run starts a named background task.
	run func(name string, run func(ctx context.Context))
	// serving is set once the node has started to serve, which makes it linger.
	serving atomic.Bool

	mu    sync.Mutex
	stage model.DrainStage
	cause string
	// calls is the number of calls in flight, indexed by model.Role.
	calls       [2]int
	subscribers []func(model.DrainStage)
	// idle receives a value when the last call in flight ends.
	idle chan struct{}
	done chan struct{}
}

func newDrainer(ctx *kernel.Context, settings *Settings, fleet model.Fleet) *drainer {
	return &drainer{
		settings: settings,
		fleet:    fleet,
		log:      ctx.Log(),
		hooks:    ctx.Hooks(),
		run:      ctx.Go,
		idle:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// accepts reports whether a role accepts new calls at a stage.
func accepts(stage model.DrainStage, role model.Role) bool {
	if role == model.RoleTarget {
		return stage < model.StageRefusing
	}
	return stage < model.StageFinishing
}

// Stage implements model.Drainer.
func (d *drainer) Stage() model.DrainStage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stage
}

// Done implements model.Drainer.
func (d *drainer) Done() <-chan struct{} {
	return d.done
}

// Subscribe implements model.Drainer.
func (d *drainer) Subscribe(f func(model.DrainStage)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
}

// Enter implements model.Drainer.
func (d *drainer) Enter(role model.Role) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !accepts(d.stage, role) {
		return false
	}
	d.calls[role]++
	return true
}

// Leave implements model.Drainer.
func (d *drainer) Leave(role model.Role) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[role]--
	if d.calls[model.RoleEntry]+d.calls[model.RoleTarget] == 0 {
		select {
		case d.idle <- struct{}{}:
		default:
		}
	}
}

func (d *drainer) inFlight(role model.Role) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[role]
}

// Drain implements model.Drainer. When it returns, the node rejects new calls in the
// target role.
func (d *drainer) Drain(cause string) {
	if !d.advance(model.StageRefusing, cause) {
		return
	}
	d.run("drain", d.runStages)
}

// advance enters a later stage, logs it and notifies the subscribers. It returns
// false if the stage is not later than the current one.
func (d *drainer) advance(stage model.DrainStage, cause string) bool {
	d.mu.Lock()
	if stage <= d.stage {
		d.mu.Unlock()
		return false
	}
	d.stage, d.cause = stage, cause
	calls := d.calls
	subscribers := d.subscribers
	d.mu.Unlock()
	d.log.Emit(eventStage, event.Fields{
		"stage":            stage.String(),
		"cause":            cause,
		"in_flight_entry":  calls[model.RoleEntry],
		"in_flight_target": calls[model.RoleTarget],
	})
	for _, f := range subscribers {
		f(stage)
	}
	return true
}

// runStages announces that the node is leaving and takes it through the stages after
// refusing.
func (d *drainer) runStages(ctx context.Context) {
	defer close(d.done)
	cause := d.currentCause()
	_ = d.hooks.At(ctx, kernel.HookNotifyLeaving) // a fault may only delay the notice; new calls are already rejected
	d.fleet.Announce(model.MemberLeaving)
	if d.serving.Load() {
		clock.Sleep(ctx, d.settings.Linger.Std())
	}
	d.advance(model.StageFinishing, cause)
	_ = d.hooks.At(ctx, kernel.HookFinish) // a fault may delay the wait but not skip it
	d.awaitIdle(ctx)
	d.advance(model.StageDone, cause)
	_ = d.hooks.At(ctx, kernel.HookExit) // the node exits even after an error
}

func (d *drainer) currentCause() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cause
}

// awaitIdle waits until no call is in flight, at most for Settings.Limit or until ctx
// ends.
func (d *drainer) awaitIdle(ctx context.Context) {
	timer := time.NewTimer(d.settings.Limit.Std())
	defer timer.Stop()
	for {
		entry, target := d.inFlight(model.RoleEntry), d.inFlight(model.RoleTarget)
		if entry+target == 0 {
			return
		}
		select {
		case <-d.idle:
		case <-timer.C:
			d.log.Emit(eventLimitExceeded, event.Fields{"in_flight_entry": entry, "in_flight_target": target})
			return
		case <-ctx.Done():
			return
		}
	}
}
