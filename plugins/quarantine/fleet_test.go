package quarantine

import (
	"context"
	"expvar"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/quarantine"
)

const (
	// messageDelay is the time that a message between two nodes takes.
	messageDelay = 10 * time.Millisecond
	// knownWithin is the time within which every node has to know what any node has seen.
	knownWithin = 3 * time.Second
)

var guilty = quarantine.Fingerprint{1}

// simulatedFleet is a fleet whose nodes exchange messages in memory.
type simulatedFleet struct {
	ctx   context.Context
	peers []string

	mu    sync.Mutex
	nodes []*Quarantine
	// reachable reports whether a message from one node gets to another one.
	reachable func(from, to int) bool
}

func newSimulatedFleet(ctx context.Context, size int) *simulatedFleet {
	f := &simulatedFleet{ctx: ctx, nodes: make([]*Quarantine, size), reachable: func(int, int) bool { return true }}
	for i := range size {
		f.peers = append(f.peers, strconv.Itoa(i))
	}
	for i := range size {
		f.start(i)
	}
	return f
}

// start starts a node, which knows nothing, in place of an earlier one.
func (f *simulatedFleet) start(i int) {
	q := newQuarantine()
	q.log = event.NewDiscardLog()
	q.metrics = newMetrics(new(expvar.Map).Init())
	q.table = quarantine.NewTable(q.settings.limits())
	q.self = f.peers[i]
	q.SetPeers(func() []string { return f.peers })
	q.startTask = func(_ string, run func(context.Context)) { go run(f.ctx) }
	q.send = func(ctx context.Context, peer string, m *message) (*message, error) {
		to, err := strconv.Atoi(peer)
		if err != nil {
			return nil, err
		}
		time.Sleep(messageDelay)
		receiver := f.receiver(i, to)
		if receiver == nil {
			return nil, errors.New("unreachable")
		}
		return receiver.receive(m, f.peers[i]), nil
	}
	f.mu.Lock()
	f.nodes[i] = q
	f.mu.Unlock()
	_ = q.Start(f.ctx) // never fails
}

// receiver returns the node that gets a message, nil if it does not arrive.
func (f *simulatedFleet) receiver(from, to int) *Quarantine {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reachable(from, to) {
		return nil
	}
	return f.nodes[to]
}

// connect sets which messages arrive.
func (f *simulatedFleet) connect(reachable func(from, to int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachable = reachable
}

// refusing returns the number of nodes that refuse the guilty request.
func (f *simulatedFleet) refusing() int {
	n := 0
	for _, q := range f.nodes {
		if q.Verdict(guilty).Action == quarantine.Refuse {
			n++
		}
	}
	return n
}

// crashAt records a crash under the guilty request at each of the given nodes, at the same time.
func (f *simulatedFleet) crashAt(nodes ...int) {
	for _, i := range nodes {
		f.nodes[i].RecordCrash([]quarantine.Fingerprint{guilty})
	}
}

// simulate runs a test with a fleet that has started, on a fake clock.
func simulate(t *testing.T, size int, test func(g *WithT, f *simulatedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newSimulatedFleet(ctx, size)
		time.Sleep(knownWithin)
		test(NewWithT(t), f)
		cancel()
		synctest.Wait()
	})
}

func TestCrashesSeenByThreeNodesAreKnownToAllInTime(t *testing.T) {
	for _, size := range []int{11, 86, 295, 2000} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			simulate(t, size, func(g *WithT, f *simulatedFleet) {
				f.crashAt(0, 1, 2)
				time.Sleep(knownWithin)
				g.Expect(f.refusing()).To(Equal(size))
				var sent int64
				for _, q := range f.nodes {
					sent = max(sent, q.metrics.sent.Value())
				}
				t.Logf("%d nodes: a node sent at most %d messages", size, sent)
			})
		})
	}
}

func TestANodeThatStartsAsksBeforeItIsReady(t *testing.T) {
	simulate(t, 30, func(g *WithT, f *simulatedFleet) {
		f.crashAt(0, 1, 2)
		time.Sleep(knownWithin)
		f.start(20)
		g.Expect(f.nodes[20].Synchronized()).To(HaveOccurred())
		time.Sleep(startTimeout)
		g.Expect(f.nodes[20].Synchronized()).To(Succeed())
		g.Expect(f.nodes[20].Verdict(guilty).Action).To(Equal(quarantine.Refuse))
	})
}

func TestANodeThatStartsAloneIsReadyAfterAWhile(t *testing.T) {
	simulate(t, 3, func(g *WithT, f *simulatedFleet) {
		f.connect(func(int, int) bool { return false })
		f.start(1)
		time.Sleep(startTimeout + startRetry + messageDelay)
		g.Expect(f.nodes[1].Synchronized()).To(Succeed())
	})
}

func TestNodesThatWereCutOffKnowWithinTheWindowAfterwards(t *testing.T) {
	simulate(t, 60, func(g *WithT, f *simulatedFleet) {
		cut := func(i int) bool { return i%2 == 0 }
		f.connect(func(from, to int) bool { return cut(from) == cut(to) })
		f.crashAt(0, 1, 3)
		time.Sleep(knownWithin)
		g.Expect(f.refusing()).To(BeNumerically("<", 60), "no side has seen all crashes long ago")
		f.connect(func(int, int) bool { return true })
		time.Sleep(knownWithin)
		g.Expect(f.refusing()).To(Equal(60))
	})
}

func TestANodeThatSeesHalfOfTheOthersGetsTheNews(t *testing.T) {
	simulate(t, 40, func(g *WithT, f *simulatedFleet) {
		f.connect(func(from, to int) bool { return from != 7 && to != 7 || (from+to)%2 == 0 })
		f.crashAt(0, 2, 4)
		time.Sleep(knownWithin)
		g.Expect(f.refusing()).To(Equal(40))
	})
}

func TestACompleteRunIsKnownToAll(t *testing.T) {
	simulate(t, 20, func(g *WithT, f *simulatedFleet) {
		f.crashAt(0)
		time.Sleep(knownWithin)
		g.Expect(f.nodes[9].Verdict(guilty).Action).To(Equal(quarantine.Isolate))
		f.nodes[5].RecordRun(guilty)
		time.Sleep(knownWithin)
		for _, q := range f.nodes {
			g.Expect(q.Verdict(guilty).Action).To(Equal(quarantine.Allow))
		}
	})
}

func TestNodesWithoutEvidenceSendNothing(t *testing.T) {
	simulate(t, 20, func(g *WithT, f *simulatedFleet) {
		before := f.nodes[3].metrics.sent.Value()
		time.Sleep(time.Minute)
		g.Expect(f.nodes[3].metrics.sent.Value()).To(Equal(before))
	})
}

func TestARefusalEndsInTime(t *testing.T) {
	simulate(t, 5, func(g *WithT, f *simulatedFleet) {
		f.crashAt(0, 1, 2)
		time.Sleep(knownWithin)
		g.Expect(f.nodes[4].heldAges()).To(HaveLen(1))
		time.Sleep(defaultHold)
		g.Expect(f.nodes[4].heldAges()).To(BeEmpty())
		g.Expect(f.nodes[4].Verdict(guilty).Action).To(Equal(quarantine.Isolate))
		f.crashAt(3)
		time.Sleep(knownWithin + defaultHold)
		g.Expect(f.refusing()).To(Equal(5), "a further crash doubles the time")
	})
}
