package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestTheFirstLostRunOfACrashNamesAllThatWereRunning(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector()
	one, two, three := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	finished := d.Started(three)
	d.Ended(finished, true)
	first := d.Started(one)
	d.Started(two)
	d.Started(two)
	d.Started(three)

	check, isNew := d.connectionLost()
	g.Expect(isNew).To(BeTrue())
	g.Expect(check.suspects).To(ConsistOf(one, two), "the target has completed the third before")
	d.Ended(first, false)
	joined, isNew := d.connectionLost()
	g.Expect(isNew).To(BeFalse(), "the check is still running")
	g.Expect(joined).To(BeIdenticalTo(check))

	check.finish(true)
	d.Started(Fingerprint{4})
	joined, isNew = d.connectionLost()
	g.Expect(isNew).To(BeFalse(), "a request that meets a crashed target has not caused the crash")
	g.Expect(joined.wait(t.Context())).To(BeTrue())

	d.Reached()
	d.Started(three)
	check, isNew = d.connectionLost()
	g.Expect(isNew).To(BeTrue(), "the target has run again")
	g.Expect(check.suspects).To(ContainElement(three), "the next incarnation has completed nothing yet")
}

func TestEachLostConnectionOfARunningTargetIsChecked(t *testing.T) {
	g := NewWithT(t)
	d := NewDetector()
	d.Started(Fingerprint{1})
	check, _ := d.connectionLost()
	check.finish(false)
	g.Expect(check.wait(t.Context())).To(BeFalse())
	check, isNew := d.connectionLost()
	g.Expect(isNew).To(BeTrue())
	g.Expect(check.suspects).To(HaveLen(1))
}

// judgeFunc is a Judge with evidence against some request.
type judgeFunc func(f Fingerprint) Verdict

func (judgeFunc) Empty() bool                     { return false }
func (j judgeFunc) Verdict(f Fingerprint) Verdict { return j(f) }

func TestSuspectsRunOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		isolation := NewIsolation()
		suspect := judgeFunc(func(Fingerprint) Verdict { return Verdict{Action: Isolate} })
		const runTime = 100 * time.Millisecond
		var ended []time.Duration
		began := time.Now()
		done := make(chan struct{})
		for range 3 {
			go func() {
				guard := NewGuard(suspect, isolation, func() Fingerprint { return guilty })
				_, ok := guard.Enter(context.Background(), runTime, time.Second)
				g.Expect(ok).To(BeTrue())
				time.Sleep(runTime)
				ended = append(ended, time.Since(began))
				guard.Leave()
				done <- struct{}{}
			}()
		}
		synctest.Wait()
		late := NewGuard(suspect, isolation, func() Fingerprint { return innocent })
		_, ok := late.Enter(context.Background(), runTime, 2*runTime)
		g.Expect(ok).To(BeFalse(), "three runs ahead take too long, which is known at once")
		g.Expect(time.Since(began)).To(Equal(time.Duration(0)))
		for range 3 {
			<-done
		}
		g.Expect(ended).To(Equal([]time.Duration{runTime, 2 * runTime, 3 * runTime}))
	})
}

func TestEvidenceThatArrivesWhileARequestWaitsKeepsItFromTheTarget(t *testing.T) {
	g := NewWithT(t)
	verdict := Verdict{}
	judge := judgeFunc(func(Fingerprint) Verdict { return verdict })
	isolation := NewIsolation()
	guard := NewGuard(judge, isolation, func() Fingerprint { return guilty })
	_, ok := guard.Enter(t.Context(), 0, time.Second)
	g.Expect(ok).To(BeTrue())
	verdict = Verdict{Action: Refuse, RetryAfter: time.Minute}
	retryAfter, ok := guard.Check()
	g.Expect(ok).To(BeFalse())
	g.Expect(retryAfter).To(Equal(time.Minute))

	verdict = Verdict{Action: Isolate}
	_, ok = guard.Check()
	g.Expect(ok).To(BeTrue(), "nobody else runs in isolation")
	other := NewGuard(judge, isolation, func() Fingerprint { return innocent })
	_, ok = other.Check()
	g.Expect(ok).To(BeFalse(), "a request that has a slot does not wait for its turn")
	guard.Leave()
	_, ok = other.Check()
	g.Expect(ok).To(BeTrue())
	other.Leave()
}
