package main

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"
)

// Traffic is what the clients of all nodes send.
type Traffic struct {
	fleet *Fleet
	mu    sync.Mutex
	all   []*Request
	done  chan struct{}
	wait  sync.WaitGroup
}

// startTraffic starts clients on the given nodes, each with a kept connection.
func startTraffic(f *Fleet, nodes []*Node, perNode int) *Traffic {
	t := &Traffic{fleet: f, done: make(chan struct{})}
	for _, n := range nodes {
		for i := range perNode {
			t.wait.Go(func() { t.client(n, i) })
		}
	}
	return t
}

// stop ends the clients and returns what they have sent.
func (t *Traffic) stop() []*Request {
	close(t.done)
	t.wait.Wait()
	return t.all
}

func (t *Traffic) over() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// client sends one request after the other, on one connection while the node keeps it.
func (t *Traffic) client(n *Node, kind int) {
	var c *Conn
	for !t.over() {
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		if c == nil {
			var err error
			if c, err = dial(n); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		q := usualRequest(kind)
		open := c.send(q) == nil && c.receive(q)
		t.fleet.record.Detail("client at %s: %s %s %s after %.3f s: %s", n.name, q.ID, q.Method, q.URI, time.Since(q.SentAt).Seconds(), q.outcome())
		t.mu.Lock()
		t.all = append(t.all, q)
		t.mu.Unlock()
		if !open {
			_ = c.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

// usualRequest returns a request like those of the site.
func usualRequest(kind int) *Request {
	switch kind % 4 {
	case 0:
		return newRequest("GET", hostName, "/status/a?work=220", 4*time.Second)
	case 1:
		q := newRequest("POST", hostName, "/lodge/a?work=290&bytes=1500", 5*time.Second)
		q.Unsafe, q.Body = true, bytes.Repeat([]byte("lodge"), 800)
		return q
	case 2:
		q := newRequest("PUT", hostName, "/fee/a?work=150&bytes=1500", 3*time.Second)
		q.Unsafe, q.Body = true, bytes.Repeat([]byte("fee"), 100)
		return q
	default:
		return newRequest("GET", hostName, "/view/a?work=880&bytes=1500", 15*time.Second)
	}
}
