package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/event"
)

func newTestDrain() *drain {
	return &drain{settings: defaultSettings(), log: event.NewDiscardLog()}
}

// handle handles a request on a node that may be draining, as the roles of the node do.
func (d *drain) handle(duration time.Duration) {
	d.requestStarted()
	rejected := d.closed()
	if !rejected {
		time.Sleep(duration)
	}
	d.requestEnded(rejected)
}

// send sends a request every interval until ctx ends.
func (d *drain) send(ctx context.Context, interval, duration time.Duration) {
	for ctx.Err() == nil {
		go d.handle(duration)
		time.Sleep(interval)
	}
}

// Callers on the node's own host have no other node, so each moment in which it only rejects
// them counts: it ends as soon as it has served what it has accepted.
func TestCallersThatKeepSendingDoNotProlongTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newTestDrain()
		ctx, cancel := context.WithCancel(t.Context())
		const runTime = 300 * time.Millisecond
		go d.send(ctx, 10*time.Millisecond, runTime)
		time.Sleep(time.Second)
		start := time.Now()
		d.start()
		d.wait(t.Context())
		g.Expect(time.Since(start)).To(BeNumerically("<=", defaultLinger+runTime+drainIdleTime+2*drainPoll))
		cancel()
		time.Sleep(runTime)
	})
}

func TestDrainAwaitsAcceptedRequestsWithinTheGracePeriod(t *testing.T) {
	for _, c := range []struct{ runTime, want time.Duration }{
		{runTime: 4 * time.Second, want: 4*time.Second + drainIdleTime},
		{runTime: time.Minute, want: defaultGrace - exitReserve},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			d := newTestDrain()
			go d.handle(c.runTime)
			synctest.Wait()
			start := time.Now()
			d.start()
			d.wait(t.Context())
			g.Expect(time.Since(start)).To(BeNumerically("~", c.want, 2*drainPoll))
			time.Sleep(c.runTime)
		})
	}
}

// Guards against a draining node that takes requests which it has no time to finish.
func TestOnlyCallsOfTheOwnTargetThatEndInTimeAreAdmittedWhileDraining(t *testing.T) {
	for name, c := range map[string]struct {
		at        time.Duration
		nested    bool
		atTarget  int
		remaining time.Duration
		want      bool
	}{
		"while lingering, any request":       {at: defaultLinger - time.Millisecond, remaining: time.Minute, want: true},
		"not nested":                         {at: defaultLinger, atTarget: 1, remaining: time.Second},
		"nested, nothing runs at the target": {at: defaultLinger, nested: true, remaining: time.Second},
		"nested, ends with the drain":        {at: defaultLinger, nested: true, atTarget: 1, remaining: defaultGrace - exitReserve - defaultLinger, want: true},
		"nested, may end after the drain":    {at: defaultLinger, nested: true, atTarget: 1, remaining: defaultGrace - exitReserve - defaultLinger + time.Millisecond},
		"nested, at the end of the drain":    {at: defaultGrace - exitReserve, nested: true, atTarget: 1, remaining: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDrain()
				for range c.atTarget {
					d.targetRequestStarted()
				}
				d.start()
				time.Sleep(c.at)
				NewWithT(t).Expect(d.admits(c.nested, time.Now().Add(c.remaining))).To(Equal(c.want))
			})
		})
	}
}
