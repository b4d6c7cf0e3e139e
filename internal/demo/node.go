package demo

import (
	"context"
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast"
	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/observe"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// pollInterval is the time between two reads of a node's release in force.
const pollInterval = 5 * time.Millisecond

// node is one node of the demo. It can be restarted.
type node struct {
	proc    *procfleet.Proc
	checker *invariant.Checker

	mu sync.Mutex
	// running is nil while the node is stopped.
	running *bronzemast.Node
	// applied holds the time at which the host first applied each release.
	applied map[uint64]time.Time
	// stoppedControlBytes counts the control bytes sent by nodes that have stopped.
	stoppedControlBytes uint64
}

// start starts the node. From then on, the releases that it applies are reported to
// the checker.
func (n *node) start(ctx context.Context) error {
	settings, err := kernel.LoadSettings(n.proc.SettingsFile())
	if err != nil {
		return err
	}
	log, err := kernel.NewEventLog(settings, io.Discard)
	if err != nil {
		return err
	}
	running, err := bronzemast.New(settings, log)
	if err != nil {
		return err
	}
	if err := observe.ReportReleases(running, n.proc.Host.ID, n.checker); err != nil {
		return err
	}
	configuration, _ := kernel.Value[model.Configuration](running.Kernel())
	configuration.Subscribe(n.recordApplied)
	n.mu.Lock()
	n.running = running
	n.mu.Unlock()
	return running.Start(ctx)
}

// recordApplied records when the host first applied a release.
func (n *node) recordApplied(s *config.Snapshot) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.applied == nil {
		n.applied = map[uint64]time.Time{}
	}
	if _, found := n.applied[s.Number]; !found {
		n.applied[s.Number] = now
	}
}

// current returns the running node, or nil if it is stopped.
func (n *node) current() *bronzemast.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running
}

// release returns the number of the release in force, or 0 if there is none.
func (n *node) release() uint64 {
	running := n.current()
	if running == nil {
		return 0
	}
	return observe.ReleaseInForce(running)
}

// awaitRelease waits until the release or a later one is in force. It returns an
// error when ctx ends.
func (n *node) awaitRelease(ctx context.Context, number uint64) error {
	for n.release() < number {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Errorf("host %s has release %d, not %d: %v", n.proc.Host.ID, n.release(), number, ctx.Err())
		}
	}
	return nil
}

// detach removes and returns the running node, or nil if it is stopped. It adds the
// node's control bytes to stoppedControlBytes.
func (n *node) detach() *bronzemast.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	running := n.running
	n.running = nil
	if running != nil {
		n.stoppedControlBytes += controlBytes(running)
	}
	return running
}

// abort stops the node without waiting for its work in progress, as a crash does.
func (n *node) abort() {
	running := n.detach()
	if running == nil {
		return
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = running.Shutdown(canceled) // the canceled context skips the graceful steps
}

// shutdown stops the node gracefully.
func (n *node) shutdown(ctx context.Context) error {
	running := n.detach()
	if running == nil {
		return nil
	}
	return running.Shutdown(ctx)
}

// totalControlBytes returns the bytes that the node has sent to peers over all of its
// restarts.
func (n *node) totalControlBytes() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running == nil {
		return n.stoppedControlBytes
	}
	return n.stoppedControlBytes + controlBytes(n.running)
}

// appliedAt returns when the host first applied a release, and false if it has not.
func (n *node) appliedAt(number uint64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.applied[number]
	return at, ok
}

// rejections returns 1 if the running node has rejected a release, else 0.
func (n *node) rejections() int {
	running := n.current()
	if running == nil {
		return 0
	}
	plugin, ok := running.Kernel().Metrics().Get("distribution").(*expvar.Map)
	if !ok {
		return 0
	}
	rejected, ok := plugin.Get("releases_refused").(*expvar.Int)
	if !ok || rejected.Value() == 0 {
		return 0
	}
	return 1
}
