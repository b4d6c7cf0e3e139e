package sidecar

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
)

const (
	// signedFields identify an answer and sign it; %s stands for the request's ID.
	signedFields = "X-Request-Id: %s\r\nX-Response-Signature: signed-by-raw\r\n"
	// wholeBody is the body of a proper answer, of 26 bytes.
	wholeBody = "answer to %s"
	okLine    = "HTTP/1.1 200 OK\r\n"
)

// malformedAnswers returns answers that break the protocol in their heads, by name.
func malformedAnswers() map[string]string {
	answers := map[string]string{}
	for _, status := range []string{"000", "001", "099", "+20", "-20", "0", "20", "2000", "600", "999", "2x0", "2 0", ""} {
		answers["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + signedFields + "Content-Length: 26\r\n\r\n" + wholeBody
	}
	for _, field := range []string{
		"X More: a", "X-More : a", "X-More\t: a", "X\tMore: a", "X\x01More: a", "X-\x7f: a", "X-\x00: a", "X-\x0b: a", " X-More: a", "\tX-More: a",
		"X(More): a", ": a", " : a", "X-More", "X-M\xc3\xa4r: a",
	} {
		answers["field "+field] = okLine + signedFields + field + "\r\nContent-Length: 26\r\n\r\n" + wholeBody
		answers["interim field "+field] = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + field + "\r\n\r\n" + okLine + signedFields + "Content-Length: 26\r\n\r\n" + wholeBody
	}
	for _, field := range []string{"Content-Length : 26", " Content-Length: 26", "Content\x01Length: 26", "Transfer-Encoding : chunked"} {
		// Without the length, the body reaches to the end of the connection.
		answers["body of "+field] = okLine + signedFields + field + "\r\n\r\n" + wholeBody + "and more"
	}
	answers["answer in an answer of status 000"] = "HTTP/1.1 000 OK\r\n\r\n" + okLine + signedFields + "Content-Length: 26\r\n\r\n" + wholeBody
	answers["answer after a switch of protocols"] = "HTTP/1.1 101 Switching Protocols\r\n\r\n" + okLine + signedFields + "Content-Length: 26\r\n\r\n" + wholeBody
	return answers
}

// Guards against answers with a malformed head that callers get as answers.
func TestAnswersWithAMalformedHeadAreNotPassedOn(t *testing.T) {
	routes := []route{
		{Prefix: "/file/", Kind: "unsafe", Service: "alpha", Timeout: "2s"},
		{Prefix: "/look/", Kind: "safe", Service: "alpha", Timeout: "2s"},
	}
	var answer atomic.Value
	f := startRawFleet(newFleet(t, "alpha", "beta"), routes, func(run standin.Run, _ []standin.Run) standin.RawAnswer {
		text := strings.ReplaceAll(answer.Load().(string), "%s", run.ID)
		return standin.RawAnswer{Runs: true, Pieces: []standin.RawPiece{{Text: text}}, Close: true}
	})
	proper := okLine + signedFields + "Content-Length: 26\r\n\r\n" + wholeBody
	for name, text := range malformedAnswers() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, entry := range f.hosts {
				answer.Store(text)
				for _, r := range []reply{
					entry.send(noKeepAliveClient, http.MethodPost, "/file/x", ""),
					entry.send(noKeepAliveClient, http.MethodGet, "/look/x", ""),
				} {
					g.Expect(r.Err == nil && (r.Signed() || r.Status < http.StatusBadRequest)).To(BeFalse(), "%q: %s", text, r)
					g.Expect(r.NotRun()).To(BeFalse(), "it has run: %s", r)
				}
			}
			answer.Store(proper)
			g.Eventually(func() reply { return f.hosts[1].send(noKeepAliveClient, http.MethodPost, "/file/x", "") }, eventualTimeout, pollInterval).Should(Satisfy(reply.Succeeded), "a proper answer")
		})
	}
}
