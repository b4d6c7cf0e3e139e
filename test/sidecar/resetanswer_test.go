package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// Guards against parts of an answer that callers get as the whole one: its worker answers a long body at
// once, without a length, and resets the connection while the body is still being sent.
func TestAnAnswerThatIsResetDuringALongUploadIsNotComplete(t *testing.T) {
	const uploads, uploadBytes = 40, 16 << 20
	routes := []route{
		{Prefix: "/file/", Kind: "unsafe", Service: "alpha"},
		{Prefix: "/look/", Kind: "safe", Service: "alpha"},
	}
	for _, answerBytes := range []int{100, 20 << 10, 400 << 10} {
		t.Run(fmt.Sprintf("after %d bytes", answerBytes), func(t *testing.T) {
			g := NewWithT(t)
			f := startRawFleet(newFleetWith(t, sidecarfleet.Options{
				Services:     []string{"alpha", "beta"},
				CallerLimits: map[string]any{"max_body_bytes": 2 * uploadBytes},
			}), routes, nil)
			f.worker.Early = func(run standin.Run) (int64, standin.RawAnswer) {
				head := okLine + strings.ReplaceAll(signedFields, "%s", run.ID) + "Connection: close\r\n\r\n"
				return 0, standin.RawAnswer{Reset: true, Pieces: []standin.RawPiece{
					{Text: head + strings.Repeat("a", answerBytes)},
					{Delay: 30 * time.Millisecond}, // the body is being sent
				}}
			}
			body := strings.Repeat("b", uploadBytes)
			for i := range uploads {
				method, path := http.MethodPost, "/file/x"
				if i%4 > 1 {
					method, path = http.MethodPut, "/look/x"
				}
				r := f.hosts[i%2].send(noKeepAliveClient, method, path, body)
				g.Expect(r.Err == nil && r.Status < http.StatusBadRequest).To(BeFalse(), "%d bytes of an answer that was reset: %d %v", len(r.Body), r.Status, r.Header)
			}
		})
	}
}
