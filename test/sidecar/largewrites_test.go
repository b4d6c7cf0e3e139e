package sidecar

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against many large writes by another writer that keep all nodes from following the store.
func TestAConfigurationArrivesThoughAnotherWriterHasWrittenALot(t *testing.T) {
	const writes = 16
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	for round := range 3 {
		for i := range writes {
			f.Store.Put(fmt.Sprintf("servers/large-%d-%d", round, i), make([]byte, valueBytes))
		}
		prefix := fmt.Sprintf("/round-%d/", round)
		f.configure(append(defaultRoutes, route{Prefix: prefix, Kind: "safe", Service: "beta"})...)
		for _, h := range f.hosts {
			g.Eventually(func() reply { return h.send(noKeepAliveClient, http.MethodGet, prefix, "") }, propagationLimit, pollInterval).Should(Satisfy(reply.Succeeded), prefix)
			usage, err := h.Usage()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(usage.ResidentBytes).To(BeNumerically("<", uint64(maxStoreMemory)), prefix)
		}
	}
	restarted := f.hosts[1]
	restarted.stop()
	restarted.start()
	g.Eventually(restarted.ready, propagationLimit, pollInterval).Should(BeTrue())
}

// maxStoreMemory bounds the resident memory of a node that reads many large values, in bytes: half of
// that of the hosts that the tests stand for.
const maxStoreMemory = 142 << 20
