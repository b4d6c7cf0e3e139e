package main

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["leaving"] = scenario{base: "127.61.1", run: leavingCase} }

const (
	// grace is the time from SIGTERM to SIGKILL. A request that a worker is still at work on in the
	// last sixth of it is excused if it was sent within earlySent of the SIGTERM.
	grace     = 6 * time.Second
	earlySent = 3 * time.Second
	// rollGap is the pause between two machines that are stopped.
	rollGap = time.Second
	// pollInterval is the time between two questions whether a node is ready, and pollLead how long
	// before one of them a machine is stopped.
	pollInterval = time.Second
	pollLead     = 50 * time.Millisecond
	// readyMisses is the number of misses in a row after which the clients of a machine get no new
	// work.
	readyMisses = 2
)

// platform asks each node once a second whether it is ready, and keeps new work from the clients
// of those that have missed twice, unless fewer than half of their zone's nodes are in.
type platform struct {
	fleet *Fleet
	mu    sync.Mutex
	miss  map[*Node]int
}

func (p *platform) poll(done <-chan struct{}, start time.Time) {
	for _, n := range p.fleet.nodes {
		go func() {
			for at := start; ; at = at.Add(pollInterval) {
				select {
				case <-done:
					return
				case <-time.After(time.Until(at)):
				}
				ready := n.isReady()
				p.mu.Lock()
				switch {
				case ready && p.miss[n] >= readyMisses:
					p.fleet.record.Note("the clients of %s get new work again", n.name)
					p.miss[n] = 0
				case ready:
					p.miss[n] = 0
				default:
					p.miss[n]++
					if p.miss[n] == readyMisses {
						p.fleet.record.Note("%s has missed twice: its clients get no new work while half of its zone's nodes are in", n.name)
					}
				}
				p.mu.Unlock()
			}
		}()
	}
}

// givesWork reports whether the clients of a node get new work.
func (p *platform) givesWork(n *Node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.miss[n] < readyMisses {
		return true
	}
	in, all := 0, 0
	for _, other := range p.fleet.nodes {
		if other.zone == n.zone {
			all++
			if p.miss[other] < readyMisses {
				in++
			}
		}
	}
	return 2*in < all
}

// leavingCase stops the two machines of a zone in turn and starts them again, as in a roll. The
// clients of one kind of request sit beside the workers of one service only. The rule LOST, around
// planned work: a process has read a whole request, it has been passed on to a worker, and the
// connection ends without a complete answer.
func leavingCase(f *Fleet, trouble bool) (bool, error) {
	f.configure(usualRoutes())
	if err := f.start(); err != nil {
		return false, err
	}
	for _, n := range f.nodes {
		go n.limitMemory() // starts processes again that have ended
	}
	done := make(chan struct{})
	p := &platform{fleet: f, miss: map[*Node]int{}}
	start := time.Now().Add(pollInterval)
	p.poll(done, start)
	var mu sync.Mutex
	var all []*Request
	var clients sync.WaitGroup
	for _, n := range f.nodes {
		for i := range 12 {
			clients.Go(func() {
				for c := (*Conn)(nil); ; {
					select {
					case <-done:
						return
					case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
					}
					if !p.givesWork(n) {
						continue
					}
					if c == nil {
						var err error
						if c, err = dial(n); err != nil {
							c = nil
							continue
						}
					}
					q := leavingRequest(n, i)
					open := c.send(q) == nil && c.receive(q)
					f.record.Detail("client at %s: %s %s %s after %.3f s: %s", n.name, q.ID, q.Method, q.URI, time.Since(q.SentAt).Seconds(), q.outcome())
					mu.Lock()
					all = append(all, q)
					mu.Unlock()
					if !open {
						_ = c.Close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(time.Until(start.Add(8*pollInterval - pollLead)))
	signals := map[string]time.Time{}
	leaving := []*Node{f.nodes[8], f.nodes[4]} // those of sunshine-coast
	for _, n := range leaving {
		signals[n.name] = time.Now()
		if trouble {
			n.signal(syscall.SIGTERM)
			f.record.Note("%s gets SIGTERM", n.name)
			time.AfterFunc(grace, func(process int) func() {
				return func() { n.killIf(process) }
			}(n.pid()))
		}
		time.Sleep(rollGap)
	}
	time.Sleep(9 * time.Second)
	close(done)
	clients.Wait()
	lost := 0
	statuses := map[int]int{}
	for _, q := range all {
		statuses[q.Status]++
		at, planned := signals[q.Node]
		runs := f.runs.of(q.ID)
		if !planned || len(runs) == 0 || !q.closedUnanswered() {
			continue
		}
		sent, closed := q.SentAt.Sub(at), q.EndedAt.Sub(at)
		if sent < 0 || sent <= earlySent && closed >= grace*5/6 {
			continue
		}
		lost++
		f.record.Note("%s %s %s at %s, sent %.3f s after its SIGTERM, run by %s, its connection closed without an answer at %.3f s: %v", q.ID, q.Method, q.URI, q.Node, sent.Seconds(), runs[0].worker, closed.Seconds(), q.Err)
	}
	f.record.Note("%d requests, by status %v (0: no answer); passed on to a worker during the planned stop and closed without an answer: %d", len(all), statuses, lost)
	return lost > 0, nil
}

// leavingRequest returns the next request of a client. Lodgements come from the machines of
// assessments only.
func leavingRequest(n *Node, client int) *Request {
	if n.service == assessments && client < 6 {
		q := newRequest("POST", hostName, "/lodge/a?work=600&bytes=1500", 5*time.Second)
		q.Unsafe, q.Body = true, bytes.Repeat([]byte("lodge"), 800)
		return q
	}
	return usualRequest([]int{0, 2, 3}[client%3])
}
