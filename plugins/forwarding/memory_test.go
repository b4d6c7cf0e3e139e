package forwarding

import (
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/model"
)

// connectionBudget returns the state of the budget of a node's connections.
func connectionBudget(g *WithT, n *node) map[string]float64 {
	plugin, ok := n.kernel.Metrics().Get("transport").(*expvar.Map)
	g.Expect(ok).To(BeTrue())
	budget, ok := plugin.Get("budget").(expvar.Func)
	g.Expect(ok).To(BeTrue())
	return budget.Value().(map[string]float64)
}

// Guards against bodies that stop: nothing bounded what all of them together take.
func TestBodiesThatStopTakeABoundedPartOfTheMemory(t *testing.T) {
	const callers, bodyBytes, memory = 60, 60 << 10, 2_000_000
	g := NewWithT(t)
	m := newMesh(t)
	m.plugins = map[string]string{"transport": `{"memory_mb": 8}`} // a quarter of it is for connections
	entry := m.add("a", "")
	m.add("b", testService)
	head := "POST /fees/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: slow-%d\r\nContent-Length: %d\r\n\r\n"
	for i := range callers {
		conn, err := net.Dial("tcp", entry.host.CallAddress)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()                                                                                           // the node may have closed it
		_, _ = fmt.Fprintf(conn, head+strings.Repeat("b", bodyBytes-1), testService, credential, model.HeaderRequestID, i, bodyBytes) // as above
	}
	g.Eventually(func() float64 { return connectionBudget(g, entry)["closed"] }).Should(BeNumerically(">", 0))
	g.Expect(connectionBudget(g, entry)["bytes"]).To(BeNumerically("<=", memory))
	answer := m.do(m.request(entry, http.MethodPost, "/fees/1", "ordinary", strings.NewReader("body")))
	g.Expect(answer.status).To(Equal(http.StatusOK))
}
