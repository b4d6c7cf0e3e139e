package ratelimit

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Property: in no window of 4 s are more requests allowed than the rate gives in that time,
// plus one burst, whatever the rates that were set meanwhile.
func TestNoWindowHasMoreRequestsThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 4 * time.Second
		rate := rapid.Float64Range(0, 50).Draw(t, "rate")
		b := Bucket{}
		now := start
		var taken []time.Time
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			b.SetRate(rate*rapid.Float64Range(0.5, 1).Draw(t, "share"), now)
			for b.Take(now) {
				taken = append(taken, now)
			}
		}
		allowed := rate*(window+burstTime).Seconds() + 1
		for i, first := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(first) < window {
					n++
				}
			}
			if float64(n) > allowed {
				t.Fatalf("%d requests in a window that allows %.1f", n, allowed)
			}
		}
	})
}

func TestRoomIsPredicted(t *testing.T) {
	g := NewWithT(t)
	b := Bucket{}
	g.Expect(b.Until(3, start)).To(BeZero(), "there is no limit")
	b.SetRate(4, start)
	g.Expect(b.Take(start)).To(BeTrue())
	g.Expect(b.Take(start)).To(BeFalse())
	g.Expect(b.Until(1, start)).To(Equal(250 * time.Millisecond))
	g.Expect(b.Until(3, start)).To(Equal(750 * time.Millisecond))
	g.Expect(b.Take(at(250))).To(BeTrue())
	g.Expect(b.Until(1, at(300))).To(Equal(200 * time.Millisecond))
	b.SetRate(0, at(300))
	g.Expect(b.Until(3, at(300))).To(Equal(maxWait))
	b.Clear()
	g.Expect(b.Take(at(300))).To(BeTrue())
}

func TestTargetThatAcceptsNothingIsTriedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	b := Bucket{}
	b.SetRate(Usable(0), start)
	taken := 0
	for ms := 0; ms <= 60_000; ms += 100 {
		if b.Take(at(ms)) {
			taken++
		}
	}
	g.Expect(taken).To(Equal(7))
}

func TestUnusedRequestsAreNotSaved(t *testing.T) {
	g := NewWithT(t)
	b := Bucket{}
	b.SetRate(20, start)
	taken := 0
	for b.Take(at(60_000)) {
		taken++
	}
	g.Expect(taken).To(Equal(5))
}

func TestOlderAnswerDoesNotEndALaterLimit(t *testing.T) {
	g := NewWithT(t)
	var a Announced
	a.Name(4, at(100), at(200))
	a.End(at(150))
	g.Expect(limitOf(&a)).To(Equal(4.0), "the answer may have been sent before the limit was named")
	a.End(at(200))
	g.Expect(limitOf(&a)).To(Equal(-1.0))
}

func TestOverlappingAnswersGiveTheLowerLimit(t *testing.T) {
	g := NewWithT(t)
	var a Announced
	a.Name(4, at(100), at(200))
	a.Name(9, at(150), at(300))
	g.Expect(limitOf(&a)).To(Equal(4.0))
	a.Name(2, at(250), at(310))
	g.Expect(limitOf(&a)).To(Equal(2.0))
	a.Name(9, at(320), at(330))
	g.Expect(limitOf(&a)).To(Equal(9.0))
}

func TestLimitHeardByOtherNodesCountsUntilTheTargetAnswers(t *testing.T) {
	g := NewWithT(t)
	var a Announced
	a.Learn(5)
	a.Learn(7)
	g.Expect(limitOf(&a)).To(Equal(5.0))
	a.Learn(3)
	g.Expect(limitOf(&a)).To(Equal(3.0))
	a.Name(6, at(0), at(100))
	a.Learn(1)
	g.Expect(limitOf(&a)).To(Equal(6.0))
	a = Announced{}
	a.Learn(5)
	a.End(at(0))
	a.Learn(5)
	g.Expect(limitOf(&a)).To(Equal(-1.0))
}

func TestNodesShareALimit(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Share(4, 1)).To(Equal(4.0))
	g.Expect(Share(4, 2)).To(Equal(4.0))
	g.Expect(Share(4, 8)).To(Equal(1.0))
	var s Senders
	g.Expect(s.Pause(4, 50*time.Millisecond, start)).To(Equal(50*time.Millisecond), "no other node")
	for n := range byte(8) {
		s.Offered(netip.AddrFrom4([4]byte{10, 0, 0, n}), at(int(n)*1000))
	}
	g.Expect(s.Pause(4, 0, at(8000))).To(Equal(time.Second))
	g.Expect(s.Pause(4, 0, at(14_500))).To(Equal(375*time.Millisecond), "three nodes remain")
}

// limitOf returns the limit, -1 if there is none.
func limitOf(a *Announced) float64 {
	rate, limited := a.Limit()
	if !limited {
		return -1
	}
	return rate
}
