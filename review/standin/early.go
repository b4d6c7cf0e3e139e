package main

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["early"] = scenario{base: "127.61.2", run: earlyCase} }

const (
	// uploadBytes is the length of the long bodies, within max_body_bytes of the configuration
	// (64 MiB), and earlyBytes what a worker has read of one when it answers early.
	uploadBytes = 480 << 10
	earlyBytes  = 64 << 10
	// earlyAnswerBytes is the length of the early answer.
	earlyAnswerBytes = 320 << 10
)

// earlyResult is what a worker has received of the body of a request.
type earlyResult struct {
	id string
	// got is the number of bytes, and differsAt the offset of the first one that is not the
	// client's, -1 if there is none.
	got, differsAt int
	// complete is set if the body ended properly.
	complete bool
	worker   string
}

// earlyCase lets clients send long bodies over some time, and workers answer them before they have
// read them. The workers keep the connection and read on. The rule UNASKED: a worker gets other
// bytes where the rest of that body is due.
func earlyCase(f *Fleet, trouble bool) (bool, error) {
	routes := append(usualRoutes(), route{name: "upload", prefix: "/upload/", kind: "unsafe", service: renewals, timeout: 6 * time.Second, latency: 2 * time.Second, priority: 1})
	f.configure(routes)
	var mu sync.Mutex
	var results []earlyResult
	bodies := sync.Map{}
	for _, w := range f.workers {
		w.handle = func(x *Exchange) bool {
			if !trouble || x.req.ContentLength < uploadBytes && x.req.ContentLength >= 0 {
				return false
			}
			sent, _ := bodies.Load(x.id)
			result := readEarly(x, sent.([]byte))
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
			return true
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	var all []*Request
	var clients sync.WaitGroup
	for i, n := range f.nodes {
		clients.Go(func() {
			for round := range 4 {
				q := newRequest("POST", hostName, "/upload/a?work=300&bytes=1500", 8*time.Second)
				q.Chunked = round%2 == 0
				q.Unsafe, q.Body = true, answerBody("body"+q.ID, uploadBytes)
				bodies.Store(q.ID, q.Body)
				upload(n, q)
				f.record.Detail("client %d at %s: %s with a body of %d bytes: %s", i, n.name, q.ID, uploadBytes, q.outcome())
				mu.Lock()
				all = append(all, q)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	wrong, complete := 0, 0
	for _, r := range results {
		if r.differsAt >= 0 {
			wrong++
			if r.complete {
				complete++
			}
			f.record.Note("worker %s got %d bytes of the body of %s, to its proper end: %t; from offset %d on, others than the client sent", r.worker, r.got, r.id, r.complete, r.differsAt)
		} else {
			f.record.Detail("worker %s got %d bytes of the body of %s, all of them the client's", r.worker, r.got, r.id)
		}
	}
	answered := 0
	for _, q := range all {
		if q.Err == nil && q.Status == http.StatusOK && q.Whole {
			answered++
		}
	}
	f.record.Note("%d uploads, %d answered with the worker's whole answer; answered early by a worker: %d; other bytes in the rest of the body: %d, of these with a proper end: %d", len(all), answered, len(results), wrong, complete)
	return wrong > 0, nil
}

// readEarly answers a request after the beginning of its body and reads on.
func readEarly(x *Exchange, sent []byte) earlyResult {
	received := make([]byte, 0, uploadBytes)
	first := make([]byte, earlyBytes)
	n, _ := io.ReadFull(x.req.Body, first)
	received = append(received, first[:n]...)
	x.worker.runs.begin(x, nil)
	answer := answerBody(x.id, earlyAnswerBytes)
	go x.respond(http.StatusOK, "X-Response-Signature: "+signature(x.worker.id, x.id, answer), answer, x.worker.load())
	_ = x.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	var rest bytes.Buffer
	_, err := io.Copy(&rest, x.req.Body) // the connection may end before the body does
	received = append(received, rest.Bytes()...)
	r := earlyResult{id: x.id, got: len(received), differsAt: -1, worker: x.worker.id, complete: err == nil}
	for i := range received {
		if i >= len(sent) || received[i] != sent[i] {
			r.differsAt = i
			break
		}
	}
	x.worker.record.Detail("worker %s answered %s early; got %d bytes of its body", x.worker.id, x.id, r.got)
	return r
}

// upload sends a request whose body takes a second and a half, and reads the answer meanwhile.
func upload(n *Node, q *Request) {
	c, err := dial(n)
	if err != nil {
		q.Err = err
		return
	}
	defer func() { _ = c.Close() }()
	q.SentAt, q.Node = time.Now(), n.name
	_ = c.SetWriteDeadline(time.Now().Add(q.Deadline))
	var sending sync.WaitGroup
	sending.Go(func() {
		if _, err := c.Write([]byte(q.head())); err != nil {
			return
		}
		const pieces = 60
		for i := range pieces {
			if _, err := c.Write(q.frame(q.Body[i*uploadBytes/pieces : (i+1)*uploadBytes/pieces])); err != nil {
				return
			}
			time.Sleep(25 * time.Millisecond)
		}
		if q.Chunked {
			_, _ = c.Write([]byte("0\r\n\r\n")) // the node may have closed the connection
		}
	})
	c.receive(q)
	sending.Wait()
}
