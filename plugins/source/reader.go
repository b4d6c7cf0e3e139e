package source

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// reader follows the head and the host list of the platform and reads single
// values, within the rate limit of the node.
type reader struct {
	policy   policy
	host     model.Host
	view     func() *model.View
	platform replicaSet
	hooks    *kernel.Hooks
	log      *event.Log
	metrics  *metrics
	// starved reports whether the node's peers no longer supply it with current
	// releases.
	starved func() bool

	limiter *limiter
	// watchQueue and readQueue keep followed keys and single reads from delaying
	// each other at the limiter.
	watchQueue callQueue
	readQueue  callQueue

	assignmentCache atomic.Pointer[cachedAssignment]
	wasReader       atomic.Bool
	// hostsFailed is set if the latest call for the host list failed.
	hostsFailed atomic.Bool

	randomMu sync.Mutex
	random   *rand.Rand
}

// cachedAssignment is an assignment and the view it was derived from.
type cachedAssignment struct {
	view       *model.View
	assignment assignment
}

// readerConfig holds the settings and dependencies of a reader.
type readerConfig struct {
	policy   policy
	host     model.Host
	view     func() *model.View
	platform replicaSet
	hooks    *kernel.Hooks
	log      *event.Log
	metrics  *metrics
	random   *rand.Rand
}

func newReader(c readerConfig) *reader {
	r := &reader{
		policy:     c.policy,
		host:       c.host,
		view:       c.view,
		platform:   c.platform,
		hooks:      c.hooks,
		log:        c.log,
		metrics:    c.metrics,
		random:     c.random,
		starved:    func() bool { return true },
		watchQueue: newCallQueue(),
		readQueue:  newCallQueue(),
	}
	first := c.policy.allowanceFor(c.policy.assignmentOf(c.view(), c.host))
	r.limiter = &limiter{pacer: newPacer(first, time.Now(), c.random.Float64())}
	return r
}

// assignment returns the node's assignment in the current view.
func (r *reader) assignment() assignment {
	view := r.view()
	if cached := r.assignmentCache.Load(); cached != nil && cached.view == view {
		return cached.assignment
	}
	assigned := r.policy.assignmentOf(view, r.host)
	r.assignmentCache.Store(&cachedAssignment{view: view, assignment: assigned})
	r.recordAssignment(assigned)
	return assigned
}

// recordAssignment updates the metrics, and logs when the node becomes a reader
// or stops being one.
func (r *reader) recordAssignment(assigned assignment) {
	r.metrics.interval.Set(r.policy.allowanceFor(assigned).interval.Seconds())
	if r.wasReader.Swap(assigned.reader) == assigned.reader {
		return
	}
	if assigned.reader {
		r.metrics.reader.Set(1)
		r.log.Emit(eventReader, event.Fields{"failure_domain": r.host.Domain})
		return
	}
	r.metrics.reader.Set(0)
	r.log.Emit(eventNotReader, event.Fields{"failure_domain": r.host.Domain})
}

func (r *reader) currentAllowance() allowance {
	return r.policy.allowanceFor(r.assignment())
}

// acquire waits until the rate limit permits a call from queue q and counts the
// call. It returns the error of the context or of the fault hook.
func (r *reader) acquire(ctx context.Context, q callQueue, hook kernel.Hook) error {
	requested := time.Now()
	if err := r.limiter.wait(ctx, q, r.currentAllowance); err != nil {
		return err
	}
	r.metrics.pacedMillis.Add(time.Since(requested).Milliseconds())
	r.metrics.calls.Add(1)
	return r.hooks.At(ctx, hook)
}

// follow delivers new values of a feed until ctx ends.
func (r *reader) follow(ctx context.Context, f *feed) {
	for ctx.Err() == nil {
		next := r.decide(f)
		if next.action == actionIdle {
			clock.Sleep(ctx, next.wait)
			continue
		}
		err := r.poll(ctx, f, next)
		if ctx.Err() != nil {
			return
		}
		r.handleResult(f, err)
	}
}

func (r *reader) decide(f *feed) step {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	assigned := r.assignment()
	return f.schedule.decide(time.Now(), assigned, r.mustRead(f, assigned), r.random)
}

// mustRead reports whether the node has to read the feed's key although it is
// not a reader. A node without a host list reads the list first, because it
// determines whether the node is a reader and which peers it can ask for the rest.
func (r *reader) mustRead(f *feed, assigned assignment) bool {
	if assigned.hostListKnown {
		return r.starved()
	}
	return f.key == model.KeyHosts || r.hostsFailed.Load()
}

// handleResult schedules the next call after a call ended with err, and logs when
// the platform becomes unavailable or available again.
func (r *reader) handleResult(f *feed, err error) {
	previousFailures := f.schedule.failures
	r.randomMu.Lock()
	f.schedule.recordResult(time.Now(), r.assignment(), err != nil, r.random)
	r.randomMu.Unlock()
	if f.key == model.KeyHosts {
		r.hostsFailed.Store(err != nil)
	}
	if err == nil {
		if f.reported {
			r.log.Emit(eventAvailable, event.Fields{"key": f.key, "failures": previousFailures})
		}
		f.reported = false
		return
	}
	r.metrics.failures.Add(1)
	f.platform.rotate()
	if !f.reported && !errors.Is(err, model.ErrNotFound) {
		f.reported = true
		r.log.Emit(eventUnavailable, event.Fields{"key": f.key, "error": err.Error()})
	}
}

// poll makes one call for the feed's key and applies the value.
func (r *reader) poll(ctx context.Context, f *feed, next step) error {
	if err := r.acquire(ctx, r.watchQueue, kernel.HookWatch); err != nil {
		return err
	}
	if next.action == actionRead {
		r.metrics.starved.Add(1)
		value, err := r.readOnce(ctx, f.platform, f.key, f.schedule.failures)
		if err != nil {
			return err
		}
		return r.apply(ctx, f, value, true)
	}
	value, unchanged, err := r.watchOnce(ctx, f, next.wait)
	if err != nil {
		return err
	}
	if unchanged {
		// A replica that lags cannot be told from one without a change.
		f.platform.rotate()
		r.metrics.unchanged.Add(1)
		return nil
	}
	return r.apply(ctx, f, value, false)
}

func (r *reader) watchOnce(ctx context.Context, f *feed, wait time.Duration) (model.Value, bool, error) {
	r.metrics.watches.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+r.policy.callTimeout(f.schedule.failures))
	defer cancel()
	value, unchanged, err := f.platform.Watch(ctx, f.key, f.version.revision, wait)
	return value, unchanged, r.countMissing(err)
}

// readOnce reads the value of key. The timeout grows with the number of
// consecutive failures so far.
func (r *reader) readOnce(ctx context.Context, platform replicaSet, key string, failures int) (model.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, r.policy.callTimeout(failures))
	defer cancel()
	value, err := platform.Read(ctx, key)
	return value, r.countMissing(err)
}

func (r *reader) countMissing(err error) error {
	if errors.Is(err, model.ErrNotFound) {
		r.metrics.notFound.Add(1)
	}
	return err
}
