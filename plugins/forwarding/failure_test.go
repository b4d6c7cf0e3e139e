package forwarding

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/relay"
	standin "github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// eventualTimeout is the timeout for conditions that must eventually hold.
const eventualTimeout = 15 * time.Second

func TestUnreachableNodeIsNotRunAndFailsOver(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	crashed := m.add("b", testService)
	crashed.crash()
	a := m.post(entry, "/fees/1", "x", "a")
	g.Expect(a.status).To(Equal(503))
	g.Expect(a.outcome).To(Equal("not-run"))
	g.Expect(a.reason).To(Equal("unreachable"))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	m.add("c", testService)
	for i := range 10 {
		id := fmt.Sprint("y", i)
		expectRan(g, m.post(entry, "/fees/1", id, "a"), id, 0)
	}
}

func TestCallToStoppedTargetIsNotRun(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	m.add("b", testService).target.Stop()
	a := m.post(entry, "/fees/1", "x", "a")
	g.Expect(a.outcome).To(Equal("not-run"))
	g.Expect(a.reason).To(Equal("unreachable"))
}

func TestTargetCrashDuringCallIsUnknown(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	b := fastBehaviour()
	b.Crash = 1
	targetNode.target.SetBehaviour(b)
	for _, path := range []string{"/fees/1", "/fees/2"} {
		a := m.post(entry, path, path, "a")
		g.Expect(a.status).To(Equal(502))
		g.Expect(a.outcome).To(Equal("unknown"))
		g.Expect(targetNode.target.ExecutionLog().Started(path)).To(Equal(1))
	}
	once := m.get(entry, "/once", "once")
	g.Expect(once.outcome).To(Equal("unknown"))
	g.Expect(targetNode.target.ExecutionLog().Started("once")).To(Equal(1), "a GET that is not idempotent is sent once")
}

func TestSilentConnectionBeforeArrivalIsRetried(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	expectRan(g, m.post(entry, "/fees/1", "warm", "a"), "warm", 0)
	m.fault(targetNode, relay.SilenceOpen)
	expectRan(g, m.post(entry, "/fees/1", "x", "a"), "x", 0)
	g.Expect(targetNode.target.ExecutionLog().Started("x")).To(Equal(1))
}

func TestSilentConnectionAfterStartIsReportedAsRan(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	targetNode.kernel.Hooks().Set(kernel.HookResponseHead, func(context.Context) error {
		m.fault(targetNode, relay.SilenceOpen)
		targetNode.kernel.Hooks().Set(kernel.HookResponseHead, nil)
		return nil
	})
	a := m.post(entry, "/fees/1", "x", "a")
	g.Expect(a.outcome).To(Equal("ran"))
	g.Expect(a.reason).To(Equal("peer-lost"))
	g.Expect(a.status).To(Equal(502))
	g.Expect(targetNode.target.ExecutionLog().Started("x")).To(Equal(1))
}

func TestWaitingCallIsRevokedAtItsDeadline(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	targetNode.admitter.gate = make(chan struct{})
	r := m.request(entry, http.MethodPost, "/fees/1", "x", strings.NewReader("a"))
	r.Header.Set(model.HeaderDeadline, "200")
	a := m.do(r)
	g.Expect(a.status).To(Equal(504))
	g.Expect(a.outcome).To(Equal("not-run"))
	g.Expect(a.reason).To(Equal("deadline"))
	close(targetNode.admitter.gate)
	g.Consistently(func() int { return targetNode.target.ExecutionLog().Started("x") }, 200*time.Millisecond).Should(BeZero())
}

func TestStartedCallAtItsDeadlineIsUnknownAndCanceled(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	r := m.request(entry, http.MethodPost, "/fees/1?service=1h", "x", strings.NewReader("a"))
	r.Header.Set(model.HeaderDeadline, "200")
	a := m.do(r)
	g.Expect(a.status).To(Equal(504))
	g.Expect(a.outcome).To(Equal("unknown"))
	g.Eventually(func() int { return targetNode.target.ExecutionLog().Records()[0].Canceled }, eventualTimeout).Should(Equal(1))
}

func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for targetNode.target.ExecutionLog().Started("x") == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	a := m.do(m.request(entry, http.MethodPost, "/fees/1?service=1h", "x", strings.NewReader("a")).WithContext(ctx))
	g.Expect(a.err).To(HaveOccurred())
	g.Eventually(func() int { return targetNode.target.ExecutionLog().Records()[0].Canceled }, eventualTimeout).Should(Equal(1))
	g.Eventually(func() int { return len(entry.recorder.of(model.RoleEntry)) }, eventualTimeout).Should(Equal(1))
	g.Expect(entry.recorder.of(model.RoleEntry)[0].Outcome).NotTo(Equal(model.OutcomeNotRun))
}

func TestDrainingNodeFinishesCallsInFlight(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	leaving := m.add("b", testService)
	m.add("c", testService)
	results := make(chan callResult, 16)
	for i := range 16 {
		go func() { results <- m.post(entry, "/fees/1?service=300ms", fmt.Sprint("slow", i), "a") }()
	}
	g.Eventually(func() int { return len(leaving.target.ExecutionLog().Records()) }, eventualTimeout).ShouldNot(BeZero())
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.kernel.Stop(context.Background()) }()
	for i := range 20 {
		id := fmt.Sprint("new", i)
		expectRan(g, m.post(entry, "/fees/1", id, "a"), id, 0)
	}
	for range 16 {
		g.Expect((<-results).outcome).To(Equal("ran"))
	}
	g.Eventually(stopped, eventualTimeout).Should(Receive(BeNil()))
	leaving.kernel = nil
	g.Expect(leaving.fleet.announced).To(Equal([]model.MemberState{model.MemberLeaving}))
}

func TestNestedCallsPassDepthAndDeadline(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	nested := &standin.Nested{EntryAddress: entry.host.CallAddress, Services: []string{testService}, Credential: credential, Path: "/fees/n", Transport: m.client.Transport}
	nestedTarget, err := standin.Start(standin.Options{Address: "127.0.0.1:0", Behaviour: fastBehaviour(), Nested: nested})
	g.Expect(err).NotTo(HaveOccurred())
	targetNode.target.Stop()
	targetNode.target = nestedTarget
	targetNode.crash()
	m.start(targetNode)
	b := fastBehaviour()
	b.Slots = 20
	nestedTarget.SetBehaviour(b)
	expectRan(g, m.post(entry, "/fees/1?deeper=15", "x", "a"), "x", 0)
	g.Expect(nestedTarget.ExecutionLog().Records()).To(HaveLen(16))
	for _, e := range nestedTarget.ExecutionLog().Records() {
		g.Expect(e.Started).To(Equal(1))
	}
}

func TestCallIsNotReportedNotRunAfterAttemptThatMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	b := fastBehaviour()
	b.Crash = 1
	targetNode.target.SetBehaviour(b)
	busy := m.add("c", testService)
	busy.admitter.reject(&model.Rejection{Reason: model.ReasonOverShare})
	for i := range 20 {
		id := fmt.Sprint("x", i)
		a := m.get(entry, "/status/1", id)
		ran := targetNode.target.ExecutionLog().Started(id) > 0
		g.Expect(a.outcome == "not-run").To(Equal(!ran), "call %s: %s %s", id, a.outcome, a.reason)
	}
	g.Expect(targetNode.target.ExecutionLog().Records()).NotTo(BeEmpty())
}

func TestPausedNodeDoesNotBlockIdempotentCall(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	paused := m.add("b", testService)
	m.add("c", testService)
	for i := range 10 {
		id := fmt.Sprint("warm", i)
		expectRan(g, m.get(entry, "/status/1", id), id, 0)
	}
	m.fault(paused, relay.Silence)
	for i := range 10 {
		id := fmt.Sprint("x", i)
		expectRan(g, m.get(entry, "/status/1", id), id, 0)
	}
	m.fault(paused, relay.Pass)
}
