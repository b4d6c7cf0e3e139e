package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a worker renews its entry.
const heartbeat = 1500 * time.Millisecond

// Worker is a stand-in for an application worker. It speaks HTTP/1.1 over its own connections, one
// request at a time on each.
type Worker struct {
	id, service, address, zone string
	slots, queue               int
	born                       int64
	store                      *Store
	record                     *Record
	runs                       *Runs
	// slow is the factor by which work takes longer, in percent.
	slow atomic.Int64
	// handle, unless it is nil, handles a request instead of the worker's usual way if it
	// returns true.
	handle func(x *Exchange) bool

	mu       sync.Mutex
	state    string
	gone     bool
	sequence int
	running  int
	waiting  int
	free     chan struct{}
	listener net.Listener
	conns    map[net.Conn]bool
}

// Exchange is a request at a worker.
type Exchange struct {
	worker *Worker
	conn   net.Conn
	reader *bufio.Reader
	req    *http.Request
	id     string
}

func newWorker(id, service, address, zone string, slots int, store *Store, record *Record, runs *Runs) *Worker {
	w := &Worker{
		id: id, service: service, address: address, zone: zone, slots: slots, queue: 48, born: time.Now().UnixMilli(),
		store: store, record: record, runs: runs, state: "ready", free: make(chan struct{}, slots), conns: map[net.Conn]bool{},
	}
	w.slow.Store(100)
	return w
}

// start opens the listener and registers the worker.
func (w *Worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	go func() {
		for w.beat() {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// beat writes the worker's entry. It returns false once the worker has left.
func (w *Worker) beat() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return false
	}
	w.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": w.state, "cold_remaining": "0ms", "sequence": w.sequence, "born": w.born,
	})
	w.store.Put("servers/"+w.id, data)
	return true
}

// announceDraining reports that the worker is draining.
func (w *Worker) announceDraining() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.beat()
}

// leave removes the worker's entry.
func (w *Worker) leave() {
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	w.store.Delete("servers/" + w.id)
}

// stop closes the listener and all connections.
func (w *Worker) stop() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *Worker) serve(conn net.Conn) {
	w.mu.Lock()
	w.conns[conn] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		x := &Exchange{worker: w, conn: conn, reader: reader, req: req, id: req.Header.Get("X-Request-Id")}
		if !w.serveExchange(x) {
			return
		}
	}
}

// serveExchange serves one request. It returns false if the connection ends.
func (w *Worker) serveExchange(x *Exchange) bool {
	switch {
	case x.req.URL.Path == "/health":
		return x.respond(http.StatusOK, "", nil, "X-Instance-Id: "+w.id)
	case x.id == "":
		_, _ = io.Copy(io.Discard, x.req.Body)
		return x.respond(http.StatusBadRequest, "X-Not-Executed: 1", nil)
	}
	if expected := x.req.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		_, _ = io.Copy(io.Discard, x.req.Body)
		return x.respond(http.StatusMisdirectedRequest, "X-Instance-Id: "+w.id, nil)
	}
	if w.handle != nil && w.handle(x) {
		return false
	}
	body, err := io.ReadAll(x.req.Body)
	if err != nil {
		return false
	}
	if !w.acquire() {
		return x.respond(http.StatusServiceUnavailable, "X-Not-Executed: 1", nil)
	}
	defer w.release()
	w.runs.begin(x, body)
	time.Sleep(x.work())
	w.runs.end(x)
	answer := answerBody(x.id, x.answerBytes())
	return x.respond(http.StatusOK, "X-Response-Signature: "+signature(w.id, x.id, answer), answer, w.load())
}

// acquire takes a slot. It returns false if the queue is full.
func (w *Worker) acquire() bool {
	w.mu.Lock()
	if w.waiting >= w.queue {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	w.free <- struct{}{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	w.running++
	return true
}

func (w *Worker) release() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	<-w.free
}

func (w *Worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("X-Server-Load: %d,%d,%d", w.running, w.waiting, w.slots)
}

// work returns how long the request takes: the parameter work in milliseconds, times the worker's
// slowness.
func (x *Exchange) work() time.Duration {
	ms, err := strconv.Atoi(x.req.URL.Query().Get("work"))
	if err != nil {
		ms = 100
	}
	return time.Duration(ms) * time.Millisecond * time.Duration(x.worker.slow.Load()) / 100
}

func (x *Exchange) answerBytes() int {
	n, err := strconv.Atoi(x.req.URL.Query().Get("bytes"))
	if err != nil {
		return 400
	}
	return n
}

// respond writes a complete answer. It returns false if that fails.
func (x *Exchange) respond(status int, header string, body []byte, more ...string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), x.id, len(body))
	if header != "" {
		text += header + "\r\n"
	}
	for _, line := range more {
		text += line + "\r\n"
	}
	_ = x.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := x.conn.Write(append([]byte(text+"\r\n"), body...))
	return err == nil
}

// answerBody returns the bytes of the answer to a request.
func answerBody(id string, n int) []byte {
	seed := crc32.ChecksumIEEE([]byte(id))
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	data := make([]byte, n)
	for i := range data {
		data[i] = byte('a' + random.IntN(26))
	}
	return data
}

func signature(worker, id string, body []byte) string {
	return fmt.Sprintf("%s.%s.%d.%08x", worker, id, len(body), crc32.ChecksumIEEE(body))
}

// Run is a request that a worker has begun to work on.
type Run struct {
	worker, service, method, uri, caller string
	at                                   time.Time
	ended                                bool
	body                                 uint32
	bodyBytes                            int
}

// Runs holds what all workers have run, by request.
type Runs struct {
	mu     sync.Mutex
	byID   map[string][]*Run
	record *Record
}

func (r *Runs) begin(x *Exchange, body []byte) {
	run := &Run{
		worker: x.worker.id, service: x.worker.service, method: x.req.Method, uri: x.req.RequestURI, at: time.Now(),
		caller: x.req.Header.Get("X-Caller-Service"), body: crc32.ChecksumIEEE(body), bodyBytes: len(body),
	}
	r.record.Detail("worker %s runs %s %s %s", run.worker, x.id, run.method, run.uri)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[x.id] = append(r.byID[x.id], run)
}

func (r *Runs) end(x *Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.byID[x.id] {
		if run.worker == x.worker.id {
			run.ended = true
		}
	}
}

func (r *Runs) of(id string) []*Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Run(nil), r.byID[id]...)
}
