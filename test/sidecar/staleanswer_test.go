package sidecar

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// staleAnswer is a way in which a faulty worker answers a request that follows a refused one on the
// same connection.
type staleAnswer struct {
	// status is that of the refusal.
	status int
	// firstID and secondID are those of the two requests; both may be the same or empty.
	firstID, secondID string
	// pause is the time between the two requests.
	pause time.Duration
	// answer returns what the worker writes for the second request, which it runs.
	answer func(refusal, success string) standin.RawAnswer
}

// staleAnswers returns the ways, by name.
func staleAnswers() map[string]staleAnswer {
	const (
		runTime = 100 * time.Millisecond
		// replaced is longer than the time for which a worker that is another one gets no requests.
		replaced = 1100 * time.Millisecond
	)
	before := func(refusal, success string) standin.RawAnswer {
		return standin.RawAnswer{Runs: true, Pieces: []standin.RawPiece{{Text: refusal}, {Delay: runTime, Text: success}}}
	}
	joined := func(refusal, success string) standin.RawAnswer {
		return standin.RawAnswer{Runs: true, Pieces: []standin.RawPiece{{Delay: runTime, Text: refusal + success}}}
	}
	thrice := func(refusal, success string) standin.RawAnswer {
		return standin.RawAnswer{Runs: true, Pieces: []standin.RawPiece{{Text: refusal + refusal + refusal}, {Delay: runTime, Text: success}}}
	}
	instead := func(refusal, _ string) standin.RawAnswer {
		return standin.RawAnswer{Runs: true, Pieces: []standin.RawPiece{{Text: refusal}}, Close: true}
	}
	inPieces := func(refusal, success string) standin.RawAnswer {
		half := len(refusal) / 2
		return standin.RawAnswer{Runs: true, Pieces: []standin.RawPiece{{Text: refusal[:half]}, {Delay: runTime / 2, Text: refusal[half:]}, {Delay: runTime, Text: success}}}
	}
	ways := map[string]staleAnswer{}
	for name, answer := range map[string]func(refusal, success string) standin.RawAnswer{
		"before the answer": before, "with the answer": joined, "three times": thrice, "in place of the answer": instead, "in pieces": inPieces,
	} {
		for ids, pair := range map[string][2]string{
			"other IDs": {"first", "second"}, "the same ID": {"same", "same"}, "no IDs": {"", ""}, "first without ID": {"", "second"}, "second without ID": {"first", ""},
		} {
			ways[name+", "+ids] = staleAnswer{status: http.StatusServiceUnavailable, firstID: pair[0], secondID: pair[1], answer: answer}
		}
	}
	for _, status := range []int{http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		ways["before the answer, "+http.StatusText(status)] = staleAnswer{status: status, firstID: "same", secondID: "same", pause: replaced, answer: before}
	}
	return ways
}

// Guards against a faulty worker that writes an earlier refusal once more on a kept connection: its
// callers must not be told that a request has not run that has, and it must not run again.
func TestARefusalOfAnEarlierRequestIsNotTakenForAnAnswer(t *testing.T) {
	const usable, first, second = "is it usable?", "first body", "second body"
	routes := []route{{Prefix: "/file/", Kind: "unsafe", Service: "alpha", Timeout: "2s"}}
	ways := staleAnswers()
	var current atomic.Pointer[staleAnswer]
	f := startRawFleet(newFleet(t, "alpha", "beta"), routes, func(run standin.Run, earlier []standin.Run) standin.RawAnswer {
		way := current.Load()
		refusal := rawRefusal(way.status, way.firstID)
		kept := slices.ContainsFunc(earlier, func(r standin.Run) bool { return r.Body == first && r.ID == way.firstID })
		switch run.Body {
		case usable:
			return standin.RawAnswer{Pieces: []standin.RawPiece{{Text: rawSuccess(run.ID)}}}
		case first:
			return standin.RawAnswer{Pieces: []standin.RawPiece{{Text: refusal}}}
		}
		if !kept {
			refusal = ""
		}
		return way.answer(refusal, rawSuccess(way.secondID))
	})
	for _, entry := range f.hosts {
		for name, w := range ways {
			t.Run(string(entry.Host.Host.ID)+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				current.Store(&w)
				// A worker whose answer was not usable gets no requests for a while.
				g.Eventually(func() reply { return entry.send(noKeepAliveClient, http.MethodPost, "/file/x", usable) }, eventualTimeout, pollInterval).Should(Satisfy(reply.Succeeded))
				before := len(f.worker.Runs())
				refused := entry.SendWithID(w.firstID, noKeepAliveClient, http.MethodPost, "/file/x", first)
				g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable), "%s", refused)
				time.Sleep(w.pause)
				r := entry.SendWithID(w.secondID, noKeepAliveClient, http.MethodPost, "/file/x", second)
				ran := f.worker.Runs()[before:]
				g.Expect(len(ran)).To(BeNumerically("<=", 1), "%s", r)
				if len(ran) > 0 {
					g.Expect(r.NotRun()).To(BeFalse(), "%s has run", r)
				}
				g.Expect(r.Status == http.StatusOK && !r.MatchesRequest()).To(BeFalse(), "%s", r)
			})
		}
	}
}

// Guards against a status that promises that a request has not run, in an answer that does not
// say so otherwise.
func TestAnAnswerThatOnlyItsStatusMakesARefusalPromisesNothing(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		for name, head := range map[string]string{"signed": "X-Response-Signature: signed-by-raw\r\n", "unsigned": ""} {
			t.Run(http.StatusText(status)+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				routes := []route{{Prefix: "/file/", Kind: "unsafe", Service: "alpha", Timeout: "2s"}}
				f := startRawFleet(newFleet(t, "alpha", "beta"), routes, func(run standin.Run, _ []standin.Run) standin.RawAnswer {
					text := fmt.Sprintf("HTTP/1.1 %d Busy\r\n", status) + "X-Request-Id: " + run.ID + "\r\n" + head + "Content-Length: 0\r\n\r\n"
					return standin.RawAnswer{Runs: true, Pieces: []standin.RawPiece{{Text: text}}}
				})
				for _, entry := range f.hosts {
					r := entry.SendWithID(sidecarfleet.NewRequestID(), noKeepAliveClient, http.MethodPost, "/file/x", "body")
					g.Expect(r.NotRun()).To(BeFalse(), "%s has run", r)
				}
				g.Expect(f.worker.Runs()).To(HaveLen(len(f.hosts)))
			})
		}
	}
}
