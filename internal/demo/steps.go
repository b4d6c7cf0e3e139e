package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/bronzemast/bronzemast/internal/observe"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
)

const (
	// teamFile is the configuration file that the releases of the demo change.
	teamFile = "teams/renewals.jsonc"
	// stepCount is the number of steps, which divide the duration equally.
	stepCount = 6
	// settleTime is the wait after the last step, before the result is computed.
	settleTime = time.Second
	// killToPublishDelay is the time from the kill of a node to the publication of
	// the next release.
	killToPublishDelay = 50 * time.Millisecond
)

// runSteps runs the steps while callers send calls, shuts the fleet down and returns
// the result.
func (d *demo) runSteps(ctx context.Context) (*Result, error) {
	startTime := time.Now()
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	snapshot, err := d.snapshot()
	if err != nil {
		return nil, err
	}
	c := newCallers(d)
	c.start(sending, snapshot)
	for i, step := range d.steps() {
		fmt.Fprintf(d.options.Progress, "%5.1fs  %s\n", time.Since(startTime).Seconds(), step.title)
		if err := step.run(ctx); err != nil {
			return nil, err
		}
		waitUntil(ctx, startTime.Add(d.options.Duration*time.Duration(i+1)/stepCount))
		fmt.Fprintf(d.options.Progress, "%5.1fs  %s\n", time.Since(startTime).Seconds(), d.progress())
	}
	stopSending()
	c.wait()
	waitUntil(ctx, time.Now().Add(settleTime))
	result := d.result(time.Since(startTime))
	return result, d.shutdown(ctx)
}

// step is one change or fault in the course of the demo.
type step struct {
	title string
	run   func(ctx context.Context) error
}

func (d *demo) steps() []step {
	victim := d.nodes[1%len(d.nodes)]
	return []step{
		{"callers send calls", func(context.Context) error { return nil }},
		{"publish a change to a rate", func(context.Context) error { return d.publishRate(100) }},
		{"publish an invalid release: a grant for a caller that does not exist", d.publishInvalid},
		{"kill " + string(victim.proc.Host.ID) + ", publish a change, restart the node", func(ctx context.Context) error {
			return d.restartDuringChange(ctx, victim)
		}},
		{"make the platform unavailable and restart a node, which catches up from its peers", func(ctx context.Context) error {
			return d.restartWithoutPlatform(ctx, d.nodes[0])
		}},
		{"make the platform available and publish a change", func(context.Context) error {
			d.platform.SetFaults(platform.Faults{})
			return d.publishRate(120)
		}},
	}
}

func (d *demo) publishRate(rate int) error {
	changed, err := observe.WithRate(d.sources, teamFile, rate)
	if err != nil {
		return err
	}
	return d.publisher.Publish(changed)
}

func (d *demo) publishInvalid(context.Context) error {
	invalid, err := observe.WithDanglingGrant(d.sources, teamFile)
	if err != nil {
		return err
	}
	return d.publisher.PublishInvalid(invalid)
}

func (d *demo) restartDuringChange(ctx context.Context, victim *node) error {
	d.checker.Reachable(victim.proc.Host.ID, time.Time{})
	victim.abort()
	waitUntil(ctx, time.Now().Add(killToPublishDelay))
	if err := d.publishRate(110); err != nil {
		return err
	}
	return d.restart(ctx, victim)
}

func (d *demo) restartWithoutPlatform(ctx context.Context, victim *node) error {
	d.platform.SetFaults(platform.Faults{Down: platform.Unavailable})
	d.checker.Reachable(victim.proc.Host.ID, time.Time{})
	victim.abort()
	return d.restart(ctx, victim)
}

// restart starts a stopped node and waits until it has the last valid release in
// force.
func (d *demo) restart(ctx context.Context, n *node) error {
	if err := n.start(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := n.awaitRelease(ctx, d.publisher.LastGood()); err != nil {
		return err
	}
	d.checker.Reachable(n.proc.Host.ID, time.Now())
	return nil
}

// shutdown stops all nodes gracefully and concurrently. It returns the first error.
func (d *demo) shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	errs := make(chan error, len(d.nodes))
	for _, n := range d.nodes {
		go func() { errs <- n.shutdown(ctx) }()
	}
	var first error
	for range d.nodes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// progress returns a line about the state of the fleet.
func (d *demo) progress() string {
	inForce := 0
	for _, n := range d.nodes {
		if n.release() >= d.publisher.LastGood() {
			inForce++
		}
	}
	return fmt.Sprintf("release %d in force on %d of %d nodes; %d calls at targets",
		d.publisher.LastGood(), inForce, len(d.nodes), d.executions())
}

// executions returns the number of calls that began to execute, summed over all
// targets.
func (d *demo) executions() int {
	total := 0
	for _, t := range d.targets {
		total += len(t.ExecutionLog().Records())
	}
	return total
}

// waitUntil waits until the given time or the end of ctx.
func waitUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}
