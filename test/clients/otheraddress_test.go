package clients

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// Guards against clients that hold connections, or send without end, at the addresses of a node
// that are not meant for callers.
func TestOtherAddressesOfANodeAreBoundedToo(t *testing.T) {
	addresses := map[string]func(h *sidecarfleet.Host) string{
		"readiness": (*sidecarfleet.Host).ReadyAddress,
		"metrics":   (*sidecarfleet.Host).MetricsAddress,
		"peers":     func(h *sidecarfleet.Host) string { return h.Host.PeerAddress },
	}
	get := "GET /v1/ready HTTP/1.1\r\nHost: node\r\n"
	crowds := map[string]crowd{
		"idle connections":            {size: idleCrowdSize},
		"idle after a request":        {size: idleCrowdSize, text: get + "\r\n"},
		"heads without end":           {size: crowdSize, text: get, more: "A: " + strings.Repeat("a", 4000) + "\r\n"},
		"short fields":                {size: crowdSize, text: get + shortFields(almostHead)},
		"empty lines":                 {size: crowdSize, text: "\r\n", more: strings.Repeat("\r\n", 2000)},
		"bodies that stop":            {size: idleCrowdSize, text: get + "Content-Length: 100\r\n\r\nbody"},
		"pipelines that nobody reads": {size: crowdSize, text: strings.Repeat(get+"\r\n", 2000)},
	}
	for place, address := range addresses {
		for name, clients := range crowds {
			t.Run(place+"/"+name, func(t *testing.T) {
				g := NewWithT(t)
				f := startFleet(t, 0)
				clients.address = address(f.Hosts[0])
				clients.gather(t)
				g.Eventually(f.Hosts[0].Ready, eventualTimeout, pollInterval).Should(BeTrue(), "the platform must get its answer")
				f.expectServing()
			})
		}
	}
}
