package uplink

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// mbps is the rate of a slow host's link in a deployment, answerBytes the mean size of the
	// large answers of its service, and objective their objective.
	mbps        = 13.0
	answerBytes = 90_000
	objective   = 600 * time.Millisecond
	runTime     = 130 * time.Millisecond
)

// slowLink is a link that sends what is written to it in order, at its rate.
type slowLink struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// send returns when bytes that are written now are through.
func (l *slowLink) send(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// linkWriter writes to a slowLink and notes when the last byte is through.
type linkWriter struct {
	link *slowLink
	at   *time.Time
}

func (w linkWriter) Write(p []byte) (int, error) {
	*w.at = w.link.send(len(p))
	return len(p), nil
}

// linkResult is what callers get in a simulation.
type linkResult struct {
	offered, rejected int
	onTime            atomic.Int64
	// slowestSmall is the longest time that a small answer took on the link.
	slowestSmall time.Duration
}

// simulateLink offers large answers at a multiple of the link's rate for ten seconds, beside a
// small answer each 20 ms. Without a scheduler, all are written as soon as they are ready.
func simulateLink(t *testing.T, load float64, scheduled bool) *linkResult {
	result := &linkResult{}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		link := &slowLink{bytesPerSecond: mbps * bitsPerMbit / bitsPerByte}
		var s *Scheduler
		if scheduled {
			s = New(mbps)
		}
		interval := time.Duration(float64(answerBytes) / (link.bytesPerSecond * load) * float64(time.Second))
		end := time.Now().Add(10 * time.Second)
		next := time.Now()
		for time.Now().Before(end) {
			if !time.Now().Before(next) {
				next = next.Add(time.Duration(random.ExpFloat64() * float64(interval)))
				result.offered++
				r, _, ok := s.Reserve(answerBytes, objective)
				if !ok {
					result.rejected++
					continue
				}
				begun := time.Now()
				go func() {
					time.Sleep(runTime)
					var through time.Time
					w := NewWriter(context.Background(), linkWriter{link: link, at: &through}, r)
					_, _ = w.Write(make([]byte, answerBytes)) // the context does not end
					r.Release()
					if through.Sub(begun) <= objective {
						result.onTime.Add(1)
					}
				}()
				continue
			}
			time.Sleep(20 * time.Millisecond)
			result.slowestSmall = max(result.slowestSmall, time.Until(link.send(500)))
		}
		time.Sleep(time.Minute)
	})
	return result
}

// TestLargeAnswersBeyondTheLinkAreRejectedAndTheOthersAreOnTime simulates 1.2 times what the link
// can carry. The ideal is an order in which every answer that is sent is on time.
func TestLargeAnswersBeyondTheLinkAreRejectedAndTheOthersAreOnTime(t *testing.T) {
	g := NewWithT(t)
	got := simulateLink(t, 1.2, true)
	ideal := float64(got.offered) / 1.2
	g.Expect(float64(got.onTime.Load())).To(BeNumerically(">=", 0.8*ideal))
	g.Expect(int(got.onTime.Load())+got.rejected).To(BeNumerically(">=", got.offered*97/100), "nothing is sent in vain")
	without := simulateLink(t, 1.2, false)
	g.Expect(float64(without.onTime.Load())).To(BeNumerically("<", 0.5*ideal))
}

func TestSmallAnswersDoNotWaitBehindLargeOnes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(simulateLink(t, 1.2, true).slowestSmall).To(BeNumerically("<", 50*time.Millisecond))
	g.Expect(simulateLink(t, 1.2, false).slowestSmall).To(BeNumerically(">", 500*time.Millisecond))
}

func TestLoadBelowTheLinkIsNotRejected(t *testing.T) {
	g := NewWithT(t)
	got := simulateLink(t, 0.6, true)
	g.Expect(got.rejected).To(BeNumerically("<=", got.offered/50))
}

func TestBlockedWriterDoesNotHoldTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(mbps)
		reader, writer := io.Pipe() // nobody reads
		blocked := s.Add(answerBytes)
		go func() { _, _ = NewWriter(context.Background(), writer, blocked).Write(make([]byte, answerBytes)) }()
		synctest.Wait()
		var out bytes.Buffer
		begun := time.Now()
		r := s.Add(answerBytes)
		n, err := NewWriter(context.Background(), &out, r).Write(make([]byte, answerBytes))
		g.Expect([]any{n, err}).To(Equal([]any{answerBytes, nil}))
		g.Expect(time.Since(begun)).To(BeNumerically("<", 2*s.Duration(answerBytes)))
		_ = reader.Close()
		synctest.Wait()
		blocked.Release()
		r.Release()
		g.Expect(s.Backlog()).To(BeZero())
	})
}

func TestWriterEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(mbps)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		r := s.Add(100 * answerBytes)
		_, err := NewWriter(ctx, io.Discard, r).Write(make([]byte, 100*answerBytes))
		g.Expect(err).To(MatchError(context.Canceled))
		r.Release()
		g.Expect(s.Backlog()).To(BeZero())
		_, err = NewWriter(context.Background(), io.Discard, s.Add(answerBytes)).Write(make([]byte, answerBytes))
		g.Expect(err).NotTo(HaveOccurred(), "the others go on")
	})
}

func TestUnknownLinkAndSmallAnswersNeedNoReservation(t *testing.T) {
	g := NewWithT(t)
	var unknown *Scheduler
	for _, s := range []*Scheduler{unknown, New(mbps)} {
		r, _, ok := s.Reserve(LargeBytes-1, 0)
		g.Expect(ok).To(BeTrue())
		g.Expect(r).To(BeNil())
		r.Resize(5)
		r.Release()
		g.Expect(s.Add(LargeBytes - 1)).To(BeNil())
		g.Expect(NewWriter(context.Background(), io.Discard, nil)).To(Equal(io.Discard))
	}
	g.Expect(unknown.Backlog()).To(BeZero())
	g.Expect(New(0)).To(BeNil())
}
