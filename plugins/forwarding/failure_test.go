package forwarding

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// newTargetMesh starts a mesh of one node beside a target. It returns a hop for the first
// attempt at it.
func newTargetMesh(t *testing.T) (*mesh, *node, hop) {
	m := newMesh(t)
	targetNode := m.add("b", testService)
	return m, targetNode, rawHop(m, targetNode, 1)
}

// rawHop returns the hop of an attempt with a token fetched from the node.
func rawHop(m *mesh, n *node, sequence uint64) hop {
	p := newPeers(&plainTransport{}, time.Second).newPeer(n.host.ID, n.host.PeerAddress)
	if err := p.fetchToken(context.Background()); err != nil {
		m.t.Fatal(err)
	}
	token, _, _ := p.currentToken(time.Minute, time.Now())
	return hop{
		Attempt: AttemptID{Entry: "raw", Incarnation: 7, Sequence: sequence},
		Method:  http.MethodPost, Caller: "orders", Service: testService, Route: "pay",
		Remaining: time.Second, Release: 1, Depth: 1, Token: token,
	}
}

// plainTransport dials without TLS.
type plainTransport struct{ model.Transport }

func (*plainTransport) DialPeer(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// sendHop sends an attempt to the node and returns its hop answer.
func sendHop(m *mesh, n *node, h hop, id string) hopAnswer {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.host.PeerAddress+pathCall+"/fees/1", strings.NewReader("a"))
	if err != nil {
		m.t.Fatal(err)
	}
	r.Header.Set(headerHop, h.encode())
	r.Header.Set(model.HeaderRequestID, id)
	response, err := m.client.Do(r)
	if err != nil {
		m.t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := decodeHopAnswer(response.Header.Get(headerHopAnswer))
	if err != nil {
		m.t.Fatal(err)
	}
	return answer
}

func inquireHop(m *mesh, n *node, h hop, revoke bool) hopAnswer {
	p := newPeers(&plainTransport{}, time.Second).newPeer(n.host.ID, n.host.PeerAddress)
	answer, err := p.inquire(context.Background(), &h, revoke)
	if err != nil {
		m.t.Fatal(err)
	}
	return answer
}

func TestLateDeliveryOfAFencedAttemptDoesNotRun(t *testing.T) {
	g := NewWithT(t)
	m, targetNode, h := newTargetMesh(t)
	g.Expect(inquireHop(m, targetNode, h, false).Outcome).To(Equal(model.OutcomeNotRun))
	late := sendHop(m, targetNode, h, "late")
	g.Expect(late.Outcome).To(Equal(model.OutcomeNotRun))
	g.Expect(late.Reason).To(Equal(model.ReasonFenced))
	g.Expect(targetNode.target.ExecutionLog().Records()).To(BeEmpty())
}

func TestDuplicateAttemptRunsOnce(t *testing.T) {
	g := NewWithT(t)
	m, targetNode, h := newTargetMesh(t)
	g.Expect(sendHop(m, targetNode, h, "x").Outcome).To(Equal(model.OutcomeRan))
	duplicate := sendHop(m, targetNode, h, "x")
	g.Expect(duplicate.Outcome).To(Equal(model.OutcomeUnknown))
	g.Expect(duplicate.Reason).To(Equal(model.ReasonDuplicate))
	g.Expect(targetNode.target.ExecutionLog().Started("x")).To(Equal(1))
	g.Expect(inquireHop(m, targetNode, h, true).Outcome).To(Equal(model.OutcomeRan))
}

// An attempt that was sent before the node was paused is read after its deadline
// and must not run.
func TestAttemptReadAfterItsDeadlineIsNotRun(t *testing.T) {
	g := NewWithT(t)
	m, targetNode, h := newTargetMesh(t)
	h.Remaining = time.Microsecond
	time.Sleep(5 * time.Millisecond)
	answer := sendHop(m, targetNode, h, "x")
	g.Expect(answer.Outcome).To(Equal(model.OutcomeNotRun))
	g.Expect(answer.Reason).To(Equal(model.ReasonDeadline))
	g.Expect(targetNode.target.ExecutionLog().Records()).To(BeEmpty())
}

func TestTargetSideNodeAuthorizesByItsOwnSnapshot(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	targetNode := m.add("b", testService)
	for i, change := range []func(*hop){
		func(h *hop) { h.Caller = "stranger" },
		func(h *hop) { h.Caller = "nobody" },
		func(h *hop) { h.Service = "other" },
		func(h *hop) { h.Method = http.MethodDelete },
	} {
		h := rawHop(m, targetNode, uint64(i+1))
		change(&h)
		answer := sendHop(m, targetNode, h, "x")
		g.Expect(answer.Outcome).To(Equal(model.OutcomeNotRun))
		g.Expect(answer.Reason).NotTo(Equal(model.ReasonNone))
	}
	g.Expect(targetNode.target.ExecutionLog().Records()).To(BeEmpty())
}

func TestRestartedNodeReportsEarlierAttemptsAsUnknown(t *testing.T) {
	g := NewWithT(t)
	m, targetNode, h := newTargetMesh(t)
	g.Expect(sendHop(m, targetNode, h, "x").Outcome).To(Equal(model.OutcomeRan))
	targetNode.crash()
	m.start(targetNode)
	g.Expect(inquireHop(m, targetNode, h, true).Outcome).To(Equal(model.OutcomeUnknown))
	g.Expect(sendHop(m, targetNode, h, "x").Reason).To(Equal(model.ReasonStaleToken))
	g.Expect(targetNode.target.ExecutionLog().Started("x")).To(Equal(1))
}

func TestResponseToAnotherAttemptIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	// swapping is a proxy that responds to each attempt with the response to the
	// previous one.
	var previous *http.Response
	var body []byte
	swapping := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Scheme, r.URL.Host, r.RequestURI = "http", targetNode.host.PeerAddress, ""
		response, err := m.client.Do(r)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		if strings.HasPrefix(r.URL.Path, pathCall) {
			previous, response = response, previous
			body, data = data, body
		}
		if response == nil {
			panic(http.ErrAbortHandler)
		}
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(data)
	}))
	defer swapping.Close()
	m.mu.Lock()
	for i := range m.members {
		if m.members[i].ID == "b" {
			m.members[i].PeerAddress = swapping.Listener.Addr().String()
		}
	}
	m.mu.Unlock()
	for i := range 5 {
		id := fmt.Sprint("x", i)
		a := m.post(entry, "/fees/1?size=100", id, "a")
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.body).To(BeEmpty())
		g.Expect(a.outcome).To(Equal("ran"))
		g.Expect(a.reason).To(Equal("peer-lost"))
		g.Expect(targetNode.target.ExecutionLog().Started(id)).To(Equal(1))
	}
}

func TestTruncatedTargetResponses(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	bad := m.add("b", testService)
	b := fastBehaviour()
	b.Truncate = 1
	bad.target.SetBehaviour(b)
	a := m.post(entry, "/fees/1?size=1000", "short", "a")
	g.Expect(a.status).To(Equal(502))
	g.Expect(a.outcome).To(Equal("ran"))
	g.Expect(a.reason).To(Equal("peer-lost"))
	long := m.post(entry, "/fees/1?size=200000", "long", "a")
	g.Expect(long.err).To(HaveOccurred(), "a truncated long response aborts the caller's connection")
	chunked := m.post(entry, "/fees/1?size=200000&chunked=1", "chunked", "a")
	g.Expect(chunked.err).To(HaveOccurred())
	m.add("c", testService)
	for i := range 5 {
		id := fmt.Sprint("r", i)
		expectRan(g, m.get(entry, "/status/1?size=1000", id), id, 1000)
	}
}

func TestTruncatedHopResponseIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	targetNode.kernel.Hooks().Set(kernel.HookResponseBody, func(context.Context) error { return io.ErrUnexpectedEOF })
	a := m.post(entry, "/fees/1?size=1000", "x", "a")
	g.Expect(a.outcome).To(Equal("ran"))
	g.Expect(a.reason).To(Equal("peer-lost"))
	g.Expect(a.body).To(BeEmpty())
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

func TestRestartedNodeRejectsOldTokensAndServes(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	expectRan(g, m.post(entry, "/fees/1", "before", "a"), "before", 0)
	targetNode.crash()
	m.start(targetNode)
	// The first call may still be sent on a connection to the previous process
	// whose close the entry node has not seen; its outcome is then unknown.
	sent := 0
	ran := func() bool {
		sent++
		id := fmt.Sprint("after-", sent)
		a := m.post(entry, "/fees/1", id, "a")
		g.Expect(targetNode.target.ExecutionLog().Started(id)).To(BeNumerically("<=", 1))
		if a.outcome == "not-run" {
			g.Expect(targetNode.target.ExecutionLog().Started(id)).To(BeZero())
		}
		if a.outcome == "unknown" {
			g.Expect(a.reason).To(Equal(string(model.ReasonPeerLost)))
			return false
		}
		expectRan(g, a, id, 0)
		return true
	}
	g.Eventually(ran, 10*time.Second, 10*time.Millisecond).Should(BeTrue())
	g.Expect(sent).To(BeNumerically("<=", 3), "few connections are stale, and none is reused")
}

func TestLargeRequestAndResponseBodies(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	const size = 3 << 20
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	r := m.request(entry, http.MethodPost, "/fees/1?size=3000000", "sized", bytes.NewReader(body))
	expectRan(g, m.do(r), "sized", 3000000)
	r = m.request(entry, http.MethodPost, "/fees/1?size=3000000&chunked=1", "open", io.MultiReader(bytes.NewReader(body)))
	a := m.do(r)
	expectRan(g, a, "open", 3000000)
	g.Expect(a.header.Get(standin.HeaderBodyChecksum)).To(Equal(bodySum(body)))
	g.Expect(targetNode.target.ExecutionLog().Started("open")).To(Equal(1))
}

func TestLargeBodyFailsOverBeforeItIsRead(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	first := m.add("b", testService)
	m.add("c", testService)
	first.kernel.Hooks().Set(kernel.HookStartAttempt, func(context.Context) error { return io.ErrUnexpectedEOF })
	body := bytes.Repeat([]byte("z"), 1<<20)
	for i := range 6 {
		id := fmt.Sprint("x", i)
		a := m.do(m.request(entry, http.MethodPost, "/fees/1", id, bytes.NewReader(body)))
		expectRan(g, a, id, 0)
		g.Expect(a.header.Get(standin.HeaderBodyChecksum)).To(Equal(bodySum(body)))
	}
	g.Expect(first.recorder.of(model.RoleTarget)).NotTo(BeEmpty())
	g.Expect(first.target.ExecutionLog().Records()).To(BeEmpty())
}

func TestHeadResponseHasLengthAndNoBody(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	m.add("b", testService)
	a := m.do(m.request(entry, http.MethodHead, "/status/1?size=500", "x", nil))
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.outcome).To(Equal("ran"))
	g.Expect(a.header.Get("Content-Length")).To(Equal("500"))
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
