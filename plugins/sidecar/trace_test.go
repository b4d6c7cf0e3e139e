package sidecar

import (
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
)

// newTestTracer returns a tracer that writes to out.
func newTestTracer(out io.Writer, linesPerSecond float64) *tracer {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return newTracer(event.NewLog(logger.WithField("host", "h")), linesPerSecond)
}

// tracedCall returns a call with the log line of one attempt.
func tracedCall(id string) *call {
	return &call{
		id: id, service: "alpha", receivedAt: time.Now(), deadline: time.Now().Add(time.Second), hops: 1, targetsReached: 1,
		route: &ingress.Route{Name: "r", Objective: time.Minute},
		trace: []logLine{{event: eventAttempt, fields: event.Fields{"request": id, "target": "i-1", "hop": 1, "expected_ms": 20, "outcome": "ran"}}},
	}
}

func failedAnswer() *answer {
	return &answer{result: result{Outcome: model.OutcomeUnknown, Reason: model.ReasonTargetLost, ReachedTarget: true}}
}

func TestLinesOfRequestAreLoggedAllOrNoneWithinRateLimit(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	tr := newTestTracer(&out, 20)
	for range 1000 {
		tr.request(tracedCall("lost"), failedAnswer(), 502, 0, model.Position{Revision: 1})
	}
	lines := strings.Count(out.String(), "\n")
	g.Expect(lines).To(And(BeNumerically(">=", 10), BeNumerically("<=", 40)))
	g.Expect(strings.Count(out.String(), `"event":2200`)).To(Equal(lines/2), "one attempt per request")
	g.Expect(tr.unloggedFailed).To(Equal(1000 - lines/2))
}

func TestSuccessfulRequestsDoNotUseRateLimitOfFailedOnes(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	tr := newTestTracer(&out, 20)
	good := &answer{status: 200, result: result{Outcome: model.OutcomeRan, ReachedTarget: true}}
	for i := range 20 * sampleEvery {
		tr.request(tracedCall(strings.Repeat("x", i%97)), good, 200, 0, model.Position{Revision: 1})
	}
	tr.request(tracedCall("lost"), failedAnswer(), 502, 0, model.Position{Revision: 1})
	g.Expect(out.String()).To(ContainSubstring(`"request":"lost"`))
}

func TestBothNodesLogTheSameSample(t *testing.T) {
	g := NewWithT(t)
	logged := 0
	for i := range 100 * sampleEvery {
		id := strings.Repeat("a", i%7) + time.Duration(i).String()
		g.Expect(shouldLog(id, false)).To(Equal(shouldLog(id, false)))
		if shouldLog(id, false) {
			logged++
		}
	}
	g.Expect(logged).To(BeNumerically("~", 100, 40))
	g.Expect(shouldLog("any", true)).To(BeTrue())
}

// BenchmarkTrace measures logging a failed request on its entry node.
func BenchmarkTrace(b *testing.B) {
	tr := newTestTracer(io.Discard, 1e12)
	b.ReportAllocs()
	for b.Loop() {
		tr.request(tracedCall("lost"), failedAnswer(), 502, 0, model.Position{Revision: 1})
	}
}
