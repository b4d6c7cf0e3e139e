package forwarding

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/jsonc"
	standin "github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/model"
)

// fatalID is the prefix of the request IDs of calls that crash the targets that run them.
const fatalID = "fatal-"

// fragileTarget is the target of a node. It crashes when it runs certain calls, and starts again
// after a while.
type fragileTarget struct {
	node *node

	mu      sync.Mutex
	crashes int
	closed  bool
}

// fragileRestart is the time from a crash to the next start.
const fragileRestart = 300 * time.Millisecond

// addFragile starts a node with a fragile target.
func (m *mesh) addFragile(id model.HostID) *fragileTarget {
	f := &fragileTarget{node: m.add(id, testService)}
	f.node.target.Stop()
	f.start()
	m.t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
	})
	return f
}

func (f *fragileTarget) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	b := fastBehaviour()
	b.ServiceTime = jsonc.Duration(20 * time.Millisecond)
	var started *standin.Target
	started, err := standin.Start(standin.Options{Address: f.node.target.Address(), Behaviour: b, Seed: 1, OnStart: func(id string, _ time.Time) {
		if strings.HasPrefix(id, fatalID) {
			go f.crash(started)
		}
	}})
	if err != nil {
		time.AfterFunc(fragileRestart, f.start) // the port may still be in use
		return
	}
	f.node.target = started
}

func (f *fragileTarget) crash(running *standin.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.node.target != running {
		return
	}
	running.Stop()
	f.crashes++
	time.AfterFunc(fragileRestart, f.start)
}

func crashesOf(targets []*fragileTarget) int {
	total := 0
	for _, f := range targets {
		f.mu.Lock()
		total += f.crashes
		f.mu.Unlock()
	}
	return total
}

func TestACallThatCrashesItsTargetsIsKeptFromThem(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entries := []*node{m.add("a", ""), m.add("b", "")}
	var targets []*fragileTarget
	for _, id := range []model.HostID{"c", "d", "e", "f", "g"} {
		targets = append(targets, m.addFragile(id))
	}
	var last callResult
	for i := range 100 {
		last = m.get(entries[i%2], "/status/fatal", fmt.Sprint(fatalID, i))
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(crashesOf(targets)).To(BeNumerically("<=", 3))
	g.Expect(last.reason).To(Equal("quarantined"))
	g.Expect(last.outcome).To(Equal("not-run"))
	g.Expect(last.header.Get("Retry-After")).NotTo(BeEmpty())
	for i := range 20 {
		id := fmt.Sprint("fine-", i)
		expectRan(g, m.get(entries[i%2], "/status/fine", id), id, 0)
	}
}
