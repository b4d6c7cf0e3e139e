package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// Guards against limits of the configuration that nodes do not keep.
func TestLimitsOfTheConfigurationApplyToCallers(t *testing.T) {
	const head = "GET /look/x HTTP/1.1\r\nHost: " + authority + "\r\nX-Request-Id: limited\r\n"
	f := newFleetWith(t, sidecarfleet.Options{Services: []string{"alpha"}, CallerLimits: map[string]any{
		"max_header_bytes": 1024, "header_timeout": "200ms", "idle_timeout": "200ms",
	}})
	f.startAll([]route{{Prefix: "/look/", Kind: "safe", Service: "alpha"}})
	for name, c := range map[string]struct {
		text string
		// status is 0 if the connection is closed without an answer.
		status int
	}{
		"an ordinary request":         {head + "\r\n", http.StatusOK},
		"a head over the limit":       {head + "A: " + strings.Repeat("a", 1024) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"a head that does not end":    {head, 0},
		"a connection without a word": {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conn, err := net.DialTimeout("tcp", f.hosts[0].Host.Host.CallAddress, eventualTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }() // the node closes it as well
			_, err = io.WriteString(conn, c.text)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Now().Add(defaultLimitsTimeout))).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if c.status == 0 {
				g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(c.status))
		})
	}
}

// defaultLimitsTimeout is below the defaults of the limits, which apply without a configuration.
const defaultLimitsTimeout = 4 * time.Second
