package sidecar

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/slotqueue"
)

var portalWarmup = serviceWarmup{warmup: ingress.Warmup{Duration: 3 * time.Second, Rate: 11}, healthPath: "/health"}

// listedTarget returns an entry as of a revision.
func listedTarget(revision uint64, startedAt time.Time) *model.Target {
	return &model.Target{ID: "i-1", StartedAt: startedAt, Position: model.Position{Era: 1, Revision: revision}}
}

func TestTargetIsTakenToBeColdWhenItMayHaveStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		inst := newInstance(9, nil)
		start := time.Now()
		observe := func(target *model.Target) string {
			source := inst.observeEntry(target, portalWarmup, time.Now())
			inst.startedAs(target.StartedAt)
			return source
		}
		g.Expect(observe(listedTarget(1, start))).To(Equal(warmupFromStart), "the node sees it for the first time")
		g.Expect(inst.coldFor(time.Now())).To(Equal(portalWarmup.warmup.Duration))
		g.Expect(inst.endHealthCheck(model.HealthHead{}, nil, time.Now())).To(BeFalse())
		g.Expect(inst.coldFor(time.Now())).To(BeZero(), "it says that it is warm")
		g.Expect(observe(listedTarget(1, start))).To(BeEmpty())
		g.Expect(observe(listedTarget(2, start))).To(BeEmpty(), "its entry says nothing of a warm-up")

		cold := listedTarget(3, start)
		cold.SlowStartRemaining = 2 * time.Second
		g.Expect(observe(cold)).To(Equal(warmupFromEntry))
		g.Expect(inst.coldFor(time.Now())).To(Equal(2 * time.Second))

		time.Sleep(10 * time.Second)
		g.Expect(observe(listedTarget(4, time.Now()))).To(Equal(warmupFromStart), "it has started again under its ID")

		time.Sleep(10 * time.Second)
		returned := listedTarget(4, inst.startedAt)
		returned.ReturnedAt = time.Now()
		g.Expect(observe(returned)).To(Equal(warmupFromReturn))
		g.Expect(observe(returned)).To(BeEmpty())
	})
}

func TestUnansweredHealthChecksAreRepeatedWhileTheTargetMayBeCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		inst := newInstance(9, nil)
		inst.observeEntry(listedTarget(1, time.Now()), portalWarmup, time.Now())
		path, due := inst.beginHealthCheck(0, time.Now())
		g.Expect([]any{path, due}).To(Equal([]any{"/health", true}))
		_, due = inst.beginHealthCheck(0, time.Now())
		g.Expect(due).To(BeFalse(), "one runs")
		g.Expect(inst.endHealthCheck(model.HealthHead{}, errors.New("no answer"), time.Now())).To(BeTrue())
		_, due = inst.beginHealthCheck(healthCheckInterval, time.Now())
		g.Expect(due).To(BeFalse(), "too soon")
		time.Sleep(portalWarmup.warmup.Duration)
		g.Expect(inst.endHealthCheck(model.HealthHead{}, errors.New("no answer"), time.Now())).To(BeFalse(), "it is warm by now")
	})
}

func TestServiceWithoutWarmupIsNeverAsked(t *testing.T) {
	g := NewWithT(t)
	inst := newInstance(9, nil)
	now := time.Now()
	target := listedTarget(1, now)
	target.SlowStartRemaining = time.Second
	g.Expect(inst.observeEntry(target, serviceWarmup{healthPath: "/health"}, now)).To(BeEmpty())
	g.Expect(inst.assumeCold(now)).To(BeFalse())
	_, due := inst.beginHealthCheck(0, now)
	g.Expect(due).To(BeFalse())
	_, limited := inst.rateLimit(now)
	g.Expect(limited).To(BeFalse())
}

// TestColdTargetIsSentItsRateByAllNodesTogether offers requests of many nodes to a cold target and
// bounds those that start in any second; afterwards its slots are the only limit.
func TestColdTargetIsSentItsRateByAllNodesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		inst := newInstance(9, nil)
		inst.observeEntry(listedTarget(1, time.Now()), portalWarmup, time.Now())
		begun := time.Now()
		perSecond := map[int]int{}
		for time.Since(begun) < 6*time.Second {
			for range 10 {
				ticket := &slotqueue.Ticket{StartBy: time.Now(), ExpectedRunTime: 100 * time.Millisecond}
				if started, _ := inst.acquire(context.Background(), ticket, 0); started {
					perSecond[int(time.Since(begun)/time.Second)]++
					time.AfterFunc(100*time.Millisecond, func() { inst.release(ticket) })
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		const bound = 11*1.5 + 8
		for second := range 3 {
			g.Expect(perSecond[second]).To(BeNumerically("<=", bound), "second %d", second)
			g.Expect(perSecond[second]).To(BeNumerically(">=", 10), "its rate is used")
		}
		g.Expect(perSecond[5]).To(BeNumerically(">", 60), "it is warm")
	})
}

// TestMomentaryPaceIsNoLastingSlowdown records runs of a target whose machine is slow at times, and
// says so.
func TestMomentaryPaceIsNoLastingSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		inst := newInstance(9, nil)
		for i := range 200 {
			value := 1.0
			if i%20 < 3 {
				value = 2.5
			}
			inst.recordPace(value, time.Now())
			pace := inst.currentPace()
			inst.recordRun("r", time.Duration(value*float64(200*time.Millisecond)), pace)
			time.Sleep(50 * time.Millisecond)
		}
		inst.recordPace(2.5, time.Now())
		expected := inst.expectedRunTimes("r", time.Second)
		g.Expect(expected.usual).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
		g.Expect(expected.now).To(BeNumerically("~", 500*time.Millisecond, 60*time.Millisecond))
	})
}
