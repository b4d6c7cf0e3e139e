package soak

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/relay"
	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

const (
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// linkDelay is the one-way delay added to a slow link.
	linkDelay = 60 * time.Millisecond
	// storeDelay is the delay added to the responses of a slow store.
	storeDelay = 300 * time.Millisecond
	// deadEntryTTL bounds the time from the crash of a worker to the removal of its entry.
	deadEntryTTL = 3 * time.Second
	// drainOverrun is the time by which a draining worker outlives drainBound.
	drainOverrun = time.Second
	// restoreAway is the time for which a store is away that comes back from an older copy,
	// maxRewriteDelay the longest time until what it has lost is written again.
	restoreAway     = 500 * time.Millisecond
	maxRewriteDelay = time.Second
	// workerLimitRate is the limit that a worker names, in requests per second.
	workerLimitRate = 2
	// stormInterval is the time between two configurations of a storm, stormVersions
	// their number.
	stormInterval = 150 * time.Millisecond
	stormVersions = 6
	// workerFailures is the number of requests that a failing worker answers with 500.
	workerFailures = 20
)

// inject starts an event and ends it after its duration. An event is skipped if another
// one already acts on the same process or worker.
func (r *runner) inject(ctx context.Context, e event) {
	h := r.hosts[e.host]
	switch e.kind {
	case kindKill, kindStop, kindPause:
		r.actOnProcess(ctx, e, h)
	case kindHerdKill:
		r.herdKill(ctx, e)
	case kindHangup:
		r.recorder.beginEvent(e.kind)
		_ = h.Hangup() // the process may have ended
	case kindCut, kindSilence, kindSilenceOpen, kindDelay, kindStoreCut:
		r.actOnLink(ctx, e, h)
	case kindStoreFault, kindStoreSlow, kindStoreCompact, kindStoreRestore:
		r.actOnStore(ctx, e)
	case kindWorkerCrash, kindWorkerFails, kindReplace, kindWorkerLimit:
		r.actOnWorker(ctx, e, h)
	case kindConfigure, kindStorm, kindMistake:
		r.actOnConfiguration(ctx, e)
	case kindFatalRequest:
		r.sendFatal(ctx, e)
	case kindEvacuate:
		r.evacuate(ctx, e)
	}
}

func (r *runner) actOnProcess(ctx context.Context, e event, h *host) {
	if !h.processMu.TryLock() {
		return
	}
	defer h.processMu.Unlock()
	end := r.recorder.beginEvent(e.kind)
	defer end()
	switch e.kind {
	case kindPause:
		_ = h.Pause() // the process runs, since no other event acts on it
		_ = clock.Sleep(ctx, e.duration)
		_ = h.Resume()
		return
	case kindKill:
		_ = h.Kill()
	case kindStop:
		_ = h.Terminate()
		r.awaitExit(h)
		r.changeVersion(h)
	}
	r.restart(h)
}

// awaitExit waits for the exit of a process that has received SIGTERM, and kills it if it
// exceeds its grace period.
func (r *runner) awaitExit(h *host) {
	select {
	case <-h.Ended():
	case <-time.After(sidecarfleet.Grace + stabilityWindow):
		r.recorder.addProblem(fmt.Sprintf("host %d: process did not exit within its grace period", h.Index))
		_ = h.Kill() // lets the run continue
	}
}

func (r *runner) restart(h *host) {
	time.Sleep(restartDelay)
	if err := h.Start(); err != nil {
		r.recorder.addProblem(fmt.Sprintf("host %d: %v", h.Index, err))
	}
	h.starts.Add(1)
}

// herdKill kills three of four node processes at once; the variant selects which ones
// survive.
func (r *runner) herdKill(_ context.Context, e event) {
	defer r.recorder.beginEvent(e.kind)()
	var killed []*host
	for i, h := range r.hosts {
		if (i+e.variant)%variantCount != 0 && h.processMu.TryLock() {
			killed = append(killed, h)
		}
	}
	for _, h := range killed {
		_ = h.Kill()
	}
	for _, h := range killed {
		r.restart(h)
		h.processMu.Unlock()
	}
}

func (r *runner) actOnLink(ctx context.Context, e event, h *host) {
	defer r.recorder.beginEvent(e.kind)()
	name := string(h.Host.Host.ID)
	f := linkFault{fault: relay.Cut, matches: func(source, destination string) bool {
		switch e.variant {
		case 0: // links to the host
			return destination == name
		case 1: // links from the host
			return source == name
		default: // links in both directions
			return source == name || destination == name
		}
	}}
	switch e.kind {
	case kindSilence:
		f.fault = relay.Silence
	case kindSilenceOpen:
		f.fault = relay.SilenceOpen
	case kindDelay:
		f.fault, f.delay = relay.Pass, linkDelay
	case kindStoreCut:
		storeLink := sidecarfleet.StoreLinkName(h.Host)
		f.fault = []relay.Fault{relay.Cut, relay.Silence}[e.variant%2]
		f.matches = func(_, destination string) bool { return destination == storeLink }
	}
	remove := r.addLinkFault(f)
	defer remove()
	_ = clock.Sleep(ctx, e.duration)
}

func (r *runner) actOnStore(ctx context.Context, e event) {
	defer r.recorder.beginEvent(e.kind)()
	switch e.kind {
	case kindStoreCompact:
		r.fleet.Store.Compact()
	case kindStoreRestore:
		r.restoreStore(ctx, e)
	case kindStoreSlow:
		r.fleet.Store.SetDelay(storeDelay)
		_ = clock.Sleep(ctx, e.duration)
		r.fleet.Store.SetDelay(0)
	case kindStoreFault:
		r.fleet.Store.SetFault([]standin.Fault{standin.Unavailable, standin.RateLimited, standin.Unresponsive, standin.Reset}[e.variant])
		_ = clock.Sleep(ctx, e.duration)
		r.fleet.Store.SetFault(standin.NoFault)
	}
}

// restoreStore lets the store lose its last changes, which are written again after a while. The
// variant determines how many are lost. It does nothing while what an earlier restore lost has
// not been written again, since that would then replace later writes.
func (r *runner) restoreStore(ctx context.Context, e event) {
	if !r.restoreMu.TryLock() {
		return
	}
	defer r.restoreMu.Unlock()
	r.fleet.Store.SetFault(standin.Unavailable)
	_ = clock.Sleep(ctx, restoreAway)
	rewrite := r.fleet.Store.Restore(r.fleet.Store.Revision() - min(uint64(2*e.variant), r.fleet.Store.Revision()-1))
	r.fleet.Store.SetFault(standin.NoFault)
	_ = clock.Sleep(ctx, min(e.duration, maxRewriteDelay))
	rewrite()
}

func (r *runner) actOnWorker(ctx context.Context, e event, h *host) {
	if !h.workerMu.TryLock() {
		return
	}
	defer h.workerMu.Unlock()
	defer r.recorder.beginEvent(e.kind)()
	worker := h.Worker
	switch e.kind {
	case kindWorkerFails:
		worker.FailNext(workerFailures)
		return
	case kindWorkerCrash:
		_ = h.StopWorker()
		_ = clock.Sleep(ctx, min(e.duration, deadEntryTTL))
		if e.variant%2 == 0 {
			h.Withdraw(worker)
		} else {
			defer h.Withdraw(worker) // the new worker starts before the old entry is removed
		}
	case kindWorkerLimit:
		r.limitWorker(ctx, e, worker)
		return
	case kindReplace:
		worker.Leave()
		h.PublishAgain("draining")
		r.recorder.addDrain(worker.ID, time.Now())
		_ = clock.Sleep(ctx, drainBound+drainOverrun)
		h.Withdraw(worker)
		_ = h.StopWorker()
	}
	if err := r.startWorker(h); err != nil {
		r.recorder.addProblem(err.Error())
	}
}

// limitWorker makes a worker name a limit for long enough that it must be kept.
func (r *runner) limitWorker(ctx context.Context, e event, worker *standin.Worker) {
	worker.SetLimit(strconv.Itoa(workerLimitRate))
	from := time.Now()
	_ = clock.Sleep(ctx, limitSettling+limitWindow+e.duration)
	worker.SetLimit("")
	r.recorder.addLimit(workerLimit{worker: worker, from: from, to: time.Now()})
}

func (r *runner) actOnConfiguration(ctx context.Context, e event) {
	r.recorder.beginEvent(e.kind)
	switch e.kind {
	case kindConfigure:
		r.publishVersion(e.variant == 0)
	case kindStorm:
		for range stormVersions {
			r.publishVersion(e.variant == 0)
			_ = clock.Sleep(ctx, stormInterval)
		}
	case kindMistake:
		r.fleet.ConfigureInvalid()
		_ = clock.Sleep(ctx, stormInterval)
		r.publishVersion(false)
	}
}
