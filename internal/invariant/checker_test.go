package invariant

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/model"
)

var (
	start  = time.Unix(1_000, 0)
	digest = config.DigestOf([]byte("one"))
)

// recordCorrectHistory records a short history in which every promise holds.
func recordCorrectHistory(c *Checker) {
	c.Published(1, digest, start)
	c.Reachable("a", start)
	c.Applied("a", 1, digest, start.Add(time.Second))
	c.Sent(Call{ID: "x", Caller: "portal", Service: "renewals", Permitted: true})
	c.Executed(Execution{CallID: "x", Host: "a", At: start})
	c.Responded(Response{CallID: "x", Outcome: model.OutcomeRan, Complete: true, BelongsTo: "x"})
}

func TestCorrectHistoryHolds(t *testing.T) {
	g := NewWithT(t)
	c := New(RequiredBounds)
	recordCorrectHistory(c)
	report := c.Finish(start.Add(time.Minute))
	g.Expect(report.Held()).To(BeTrue(), "%v", report.Violations)
	g.Expect(report.Calls).To(Equal(CallCounts{Sent: 1, Ran: 1, Executions: 1}))
}

func TestBrokenHistoriesAreFound(t *testing.T) {
	// violate adds one violation of each promise to the correct history.
	violate := map[Promise]func(c *Checker){
		NeverBackwards: func(c *Checker) {
			c.Published(2, digest, start)
			c.Applied("a", 2, digest, start.Add(time.Second))
			c.Applied("a", 1, digest, start.Add(2*time.Second))
		},
		NoDanglingRoute: func(c *Checker) { c.DanglingRoute("a", 1, "renewals/lookup") },
		AllOrNothing: func(c *Checker) {
			c.Applied("a", 1, config.DigestOf([]byte("half")), start)
		},
		OwnWholeAnswer: func(c *Checker) {
			c.Sent(Call{ID: "y", Permitted: true})
			c.Responded(Response{CallID: "y", Outcome: model.OutcomeRan, Complete: true, BelongsTo: "x"})
		},
		TruthfulNotRun: func(c *Checker) {
			c.Sent(Call{ID: "y", Permitted: true})
			c.Responded(Response{CallID: "y", Outcome: model.OutcomeNotRun, Complete: true})
			c.Executed(Execution{CallID: "y", Host: "a", At: start})
		},
		AtMostOnce: func(c *Checker) {
			c.Executed(Execution{CallID: "x", Host: "b", At: start})
		},
		NoWorkWhileLeaving: func(c *Checker) {
			c.Leaving("a", start)
			c.Sent(Call{ID: "y", Permitted: true})
			c.Executed(Execution{CallID: "y", Host: "a", At: start.Add(3 * time.Second)})
		},
		GracefulShutdown: func(c *Checker) {
			c.Sent(Call{ID: "y", Permitted: true})
			c.Responded(Response{CallID: "y", Complete: true, CutByShutdown: true})
		},
		InForceEverywhere: func(c *Checker) {
			c.Reachable("b", start)
			c.Applied("b", 1, digest, start.Add(4*time.Second))
		},
		PermittedOnly: func(c *Checker) {
			c.Sent(Call{ID: "y", Caller: "stranger", Service: "renewals"})
			c.Executed(Execution{CallID: "y", Host: "a", At: start})
		},
	}
	for _, promise := range Promises() {
		t.Run(promise.String(), func(t *testing.T) {
			g := NewWithT(t)
			violateOnce, ok := violate[promise]
			g.Expect(ok).To(BeTrue(), "every promise needs a history that violates it")
			c := New(RequiredBounds)
			recordCorrectHistory(c)
			violateOnce(c)
			report := c.Finish(start.Add(time.Minute))
			g.Expect(report.Broken).To(Equal(map[string]int{promise.String(): 1}), "%v", report.Violations)
		})
	}
}
