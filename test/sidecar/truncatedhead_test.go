package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
)

// truncatedHead is an answer that its worker breaks off within the head.
type truncatedHead struct {
	// text is the answer; its body follows the head at bodyAt.
	text   string
	bodyAt int
	// endsWithConnection is set if nothing but the end of the connection ends the body.
	endsWithConnection bool
}

// truncatedHeads returns answers by name.
func truncatedHeads() map[string]truncatedHead {
	const (
		signed = "X-Request-Id: %s\r\nX-Response-Signature: signed-by-raw\r\n"
		body   = "answer to %s"
	)
	answer := func(head, body string) truncatedHead { return truncatedHead{text: head + body, bodyAt: len(head)} }
	endless := func(head, body string) truncatedHead {
		return truncatedHead{text: head + body, bodyAt: len(head), endsWithConnection: true}
	}
	return map[string]truncatedHead{
		"length last":    answer("HTTP/1.1 200 OK\r\n"+signed+"Content-Length: 26\r\n\r\n", body),
		"length first":   answer("HTTP/1.1 200 OK\r\nContent-Length: 26\r\n"+signed+"\r\n", body),
		"without length": endless("HTTP/1.1 200 OK\r\n"+signed+"Connection: close\r\n\r\n", body),
		"in chunks":      answer("HTTP/1.1 200 OK\r\n"+signed+"Transfer-Encoding: chunked\r\n\r\n", "1a\r\n"+body+"\r\n0\r\n\r\n"),
		"line feeds":     answer("HTTP/1.1 200 OK\n"+strings.ReplaceAll(signed, "\r\n", "\n")+"Content-Length: 26\n\n", body),
		"HTTP/1.0":       endless("HTTP/1.0 200 OK\r\n"+signed+"\r\n", body),
		"after interim":  answer("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"+signed+"Content-Length: 26\r\n\r\n", body),
		"folded header":  answer("HTTP/1.1 200 OK\r\n"+signed+"X-More: a\r\n \r\nContent-Length: 26\r\n\r\n", body),
	}
}

// Guards against an answer that a worker breaks off in its head and that callers get as a complete
// one, with an empty or a short body. Each answer is broken off after each of its bytes.
func TestAnAnswerThatBreaksOffInItsHeadIsNotASuccess(t *testing.T) {
	for name, head := range truncatedHeads() {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				g := NewWithT(t)
				routes := []route{
					{Prefix: "/file/", Kind: "unsafe", Service: "alpha", Timeout: "2s"},
					{Prefix: "/look/", Kind: "safe", Service: "alpha", Timeout: "2s"},
				}
				var end atomic.Int64
				f := startRawFleet(newFleet(t, "alpha", "beta"), routes, func(run standin.Run, _ []standin.Run) standin.RawAnswer {
					text := strings.ReplaceAll(head.text[:end.Load()], "%s", run.ID)
					pieces := []standin.RawPiece{{Text: text}}
					if reset {
						pieces = append(pieces, standin.RawPiece{Delay: time.Millisecond}) // the text leaves before the reset
					}
					return standin.RawAnswer{Runs: true, Pieces: pieces, Close: true, Reset: reset}
				})
				ran := 0
				for cut := range head.bodyAt {
					end.Store(int64(cut))
					for i, entry := range f.hosts {
						method, path := http.MethodPost, "/file/x"
						if (cut+i)%2 == 0 {
							method, path = http.MethodGet, "/look/x"
						}
						r := entry.send(noKeepAliveClient, method, path, "")
						g.Expect(r.Err == nil && r.Status < http.StatusBadRequest).To(BeFalse(), "broken off after %q: %s", head.text[:cut], r)
						runs := len(f.worker.Runs())
						g.Expect(r.NotRun() && runs > ran).To(BeFalse(), "%s has run", r)
						ran = runs
					}
				}
				t.Logf("%d of %d requests have run", ran, head.bodyAt*len(f.hosts))
				g.Expect(ran).To(BeNumerically(">", head.bodyAt))
				if head.endsWithConnection && reset {
					return // not even the whole answer is complete
				}
				end.Store(int64(len(head.text)))
				g.Eventually(func() reply { return f.hosts[1].send(noKeepAliveClient, http.MethodPost, "/file/x", "") }, eventualTimeout, pollInterval).Should(Satisfy(reply.Succeeded), "the whole answer")
			})
		}
	}
}
