package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// valueBytes is the largest value that the platform's store takes, in bytes.
const valueBytes = 1 << 20

// oddEntries returns entries that another writer may leave among those of the workers, by name.
// None of them names a worker to use.
func oddEntries(h *host) map[string]string {
	address := h.Host.Host.PeerAddress
	entry := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":"alpha","address":%q,"zone":"domain-0","slots":%s,"state":"ready"%s}`, address, slots, more)
	}
	nested := func(bytes int) string { return strings.Repeat("[", bytes) }
	return map[string]string{
		"nested arrays":              nested(valueBytes),
		"nested objects":             strings.Repeat(`{"a":`, valueBytes/5),
		"nested in an unknown field": strings.TrimSuffix(entry(address, "8", `,"more":`+nested(valueBytes/2)), "}"),
		"nested in a known field":    `{"service":` + nested(valueBytes/2),
		"nested and complete":        `{"more":` + nested(valueBytes/4) + strings.Repeat("]", valueBytes/4) + "}",
		"slots beyond the range":     entry(address, "99999999999999999999", ""),
		"slots with an exponent":     entry(address, "1e999", ""),
		"slots of 2^31":              entry(address, "2147483648", ""),
		"negative slots":             entry(address, "-1", ""),
		"start beyond the range":     entry(address, "8", `,"born":1e300`),
		"start as a large number":    entry(address, "8", `,"born":99999999999999999999`),
		"cold for ever":              entry(address, "8", `,"cold_remaining":"99999999999999h"`),
		"number of many digits":      `{"sequence":` + strings.Repeat("9", valueBytes/2) + "}",
		"port beyond the range":      entry("10.9.9.9:65536", "8", ""),
		"port of many digits":        entry("10.9.9.9:99999999999999999999", "8", ""),
		"negative port":              entry("10.9.9.9:-1", "8", ""),
		"port 0":                     entry("10.9.9.9:0", "8", ""),
		"no port":                    entry("10.9.9.9", "8", ""),
		"address of many bytes":      entry(strings.Repeat("1", valueBytes/2), "8", ""),
		"unspecified address":        entry("0.0.0.0:7003", "8", ""),
		"multicast address":          entry("224.0.0.1:7003", "8", ""),
		"nothing":                    "",
		"null":                       "null",
		"bytes that are no text":     "\xff\xfe\x00\x01",
	}
}

// Guards against an entry of another writer that ends the nodes which read it, or keeps them from
// following the store.
func TestOddEntriesOfAnotherWriterNeitherEndNodesNorKeepThemFromFollowing(t *testing.T) {
	// maxMemory bounds the resident memory of a node, in bytes: half of that of the smallest host.
	const maxMemory = 90 << 20
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	tr := f.traffic(http.MethodGet, "/look/x")
	number := 0
	for name, value := range oddEntries(f.hosts[0]) {
		t.Logf("%s: %d bytes", name, len(value))
		key := fmt.Sprintf("servers/odd-%d", number)
		number++
		f.Store.Put(key, []byte(value))
		prefix := fmt.Sprintf("/after-%d/", number)
		f.configure(append(defaultRoutes, route{Prefix: prefix, Kind: "safe", Service: "beta"})...)
		for _, h := range f.hosts {
			g.Eventually(func() reply { return h.send(noKeepAliveClient, http.MethodGet, prefix, "") }, propagationLimit, pollInterval).Should(Satisfy(reply.Succeeded), name)
			usage, err := h.Usage()
			g.Expect(err).NotTo(HaveOccurred(), "%s: the node has ended", name)
			g.Expect(usage.ResidentBytes).To(BeNumerically("<", uint64(maxMemory)), name)
		}
		if len(value) > valueBytes/8 {
			f.Store.Delete(key) // the list of a node that starts is bounded
		}
	}
	restarted := f.hosts[1]
	restarted.signal(syscall.SIGKILL)
	restarted.wait()
	f.Store.Put("servers/odd-nested", []byte(oddEntries(f.hosts[0])["nested arrays"]))
	restarted.start()
	g.Eventually(restarted.ready, eventualTimeout, pollInterval).Should(BeTrue())
	time.Sleep(time.Second)
	for _, r := range tr.end() {
		if r.Err == nil {
			g.Expect(r).To(Satisfy(reply.Succeeded))
		}
	}
}
