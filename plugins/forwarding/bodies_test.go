package forwarding

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	standin "github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

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
