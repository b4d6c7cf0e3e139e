package clients

import "testing"

// idleCrowdSize is more than the descriptors of the smallest host.
const idleCrowdSize = 4200

// Guards against clients that only hold connections.
func TestIdleConnectionsLeaveDescriptorsForOrdinaryCallers(t *testing.T) {
	for name, text := range map[string]string{
		"without a request": "",
		"after a request":   requestHead("GET", "/look/x", ""),
		"in a head":         "GET /look/x HTTP/1.1\r\n",
		"in a body":         declared(100, 10),
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 0)
			crowd{address: f.Hosts[0].Host.CallAddress, size: idleCrowdSize, text: text}.gather(t)
			f.expectServing()
		})
	}
}
