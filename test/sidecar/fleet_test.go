// Package sidecar runs real node processes of the profile sidecar beside stand-ins
// for the platform's store and workers.
package sidecar

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/platform/standin"
)

const (
	callPort   = 7000
	peerPort   = 7001
	readyPort  = 7002
	workerPort = 7003

	// liveness bounds the wait for something that must happen on a busy machine.
	liveness     = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	workTime     = 20 * time.Millisecond
	slots        = 8
	authority    = "shop.example"
)

// binary is the node program.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bronzemast-sidecar-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover of a failed test run
	if binary, err = procfleet.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// host is a host with a node process and a worker.
type host struct {
	t       *testing.T
	address string
	domain  string
	service string
	file    string
	log     string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}

	worker *standin.Worker
	server *http.Server
}

// fleet is a store and hosts.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	server  *httptest.Server
	hosts   []*host
	subnet  string
	version int
	workers int
}

// newFleet prepares hosts for the given services, spread over three failure
// domains. Nothing is published and no node runs yet.
func newFleet(t *testing.T, services ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore(), subnet: freeSubnet(t)}
	f.server = httptest.NewServer(f.store)
	t.Cleanup(f.server.Close)
	dir := t.TempDir()
	for i, service := range services {
		h := &host{
			t:       t,
			address: fmt.Sprintf("%s.%d", f.subnet, 10+i),
			domain:  fmt.Sprintf("domain-%d", i%3),
			service: service,
			file:    filepath.Join(dir, fmt.Sprintf("h%d.jsonc", i)),
			log:     filepath.Join(dir, fmt.Sprintf("h%d.log", i)),
		}
		f.writeSettings(h, i)
		f.hosts = append(f.hosts, h)
		t.Cleanup(h.kill)
	}
	t.Cleanup(func() { f.showLogs() })
	return f
}

// freeSubnet returns the first three bytes of loopback addresses that no other
// test uses.
func freeSubnet(t *testing.T) string {
	t.Helper()
	for range 50 {
		var b [2]byte
		_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
		subnet := fmt.Sprintf("127.%d.%d", 1+b[0]%250, b[1])
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", subnet, callPort))
		if err == nil {
			_ = l.Close() // it only showed that the address is free
			return subnet
		}
	}
	t.Fatal("no free part of the loopback range")
	return ""
}

func (f *fleet) writeSettings(h *host, i int) {
	settings := map[string]any{
		"profile": "sidecar",
		"fleet":   "test",
		"host": map[string]any{
			"id":             fmt.Sprintf("h%d", i),
			"region":         "region",
			"failure_domain": h.domain,
			"service":        h.service,
			"call_address":   h.at(callPort),
			"peer_address":   h.at(peerPort),
		},
		"target": map[string]any{"address": h.at(workerPort)},
		"plugins": map[string]any{
			"clearplate": map[string]any{"store": f.server.Listener.Addr().String(), "ready": h.at(readyPort)},
			"sidecar":    map[string]any{"grace": "6s", "linger": "1s", "log_lines": 1000},
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(h.file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (h *host) at(port int) string {
	return net.JoinHostPort(h.address, fmt.Sprint(port))
}

// showLogs prints the logs of the nodes of a failed test.
func (f *fleet) showLogs() {
	if !f.t.Failed() {
		return
	}
	for _, h := range f.hosts {
		data, err := os.ReadFile(h.log)
		f.t.Logf("%s (%s): %v\n%s", h.address, h.service, err, data)
	}
}

// start starts the node process.
func (h *host) start() {
	h.t.Helper()
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = output.Close() }() // the process has its own copy
	command := exec.Command(binary, "--settings", h.file)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		h.t.Fatal(err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = command, ended
	h.mu.Unlock()
	go func() {
		_ = command.Wait() // the exit is what is waited for
		close(ended)
	}()
}

// signal sends a signal to the node process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s) // a process that has ended needs none
	}
}

// stop stops the node process gracefully and waits for its end.
func (h *host) stop() {
	h.signal(syscall.SIGTERM)
	h.wait()
}

// kill ends the node process at once.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.wait()
}

func (h *host) wait() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(liveness):
		h.t.Errorf("node on %s does not end", h.address)
	}
}

// startWorker starts a new worker on a host and publishes its entry.
func (f *fleet) startWorker(h *host) {
	f.t.Helper()
	f.workers++
	h.worker = &standin.Worker{ID: fmt.Sprintf("i-%04d", f.workers), Service: h.service, Slots: slots, Work: workTime}
	listener, err := net.Listen("tcp", h.at(workerPort))
	if err != nil {
		f.t.Fatal(err)
	}
	h.server = &http.Server{Handler: h.worker}
	go func(server *http.Server) { _ = server.Serve(listener) }(h.server) // ends with ErrServerClosed
	f.t.Cleanup(func() { _ = h.server.Close() })                          // it may be closed already
	f.publish(h, "ready")
}

// publish writes the entry of a host's worker.
func (f *fleet) publish(h *host, state string) {
	f.store.PutJSON("servers/"+h.worker.ID, map[string]any{
		"service": h.service, "address": h.at(workerPort), "zone": h.domain, "version": "v1",
		"slots": slots, "state": state, "cold_remaining": "0ms", "sequence": f.workers,
		"born": time.Now().UnixMilli(),
	})
}

// route is a route of the published configuration.
type route struct {
	prefix   string
	kind     string
	service  string
	timeout  string
	weighted map[string]int
}

// configure publishes a configuration with the given routes.
func (f *fleet) configure(routes ...route) {
	f.version += 3
	f.store.PutJSON("op/config", f.document(f.version, routes))
}

func (f *fleet) document(version int, routes []route) map[string]any {
	var resources []map[string]any
	services := map[string]bool{}
	for _, h := range f.hosts {
		services[h.service] = true
	}
	for name := range services {
		resources = append(resources, resource("services", name, map[string]any{"health_path": "/health", "max_connections": 50}))
	}
	for i, r := range routes {
		timeout := r.timeout
		if timeout == "" {
			timeout = "4s"
		}
		spec := map[string]any{
			"host": authority, "prefix": r.prefix, "kind": r.kind, "timeout": timeout,
			"target_latency": "1s", "priority": 1, "max_attempts": 2,
		}
		if r.weighted == nil {
			spec["service"] = r.service
		} else {
			var parts []map[string]any
			for service, weight := range r.weighted {
				parts = append(parts, map[string]any{"service": service, "weight": weight})
			}
			spec["weighted_services"] = parts
		}
		resources = append(resources, resource("routes", fmt.Sprintf("r-%d", i), spec))
	}
	resources = append(resources, resource("limits", "", map[string]any{"max_body_bytes": 1 << 20, "idle_timeout": "15s"}))
	return map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources}
}

func resource(kind, name string, spec map[string]any) map[string]any {
	return map[string]any{"type": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}

// ready reports whether a host's node says that it is ready.
func (h *host) ready() bool {
	response, err := http.Get("http://" + h.at(readyPort) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() {
	f.t.Helper()
	g := NewWithT(f.t)
	for _, h := range f.hosts {
		g.Eventually(h.ready, liveness, pollInterval).Should(BeTrue(), "node on %s", h.address)
	}
}

// calm starts a fleet with workers, routes and nodes.
func calm(t *testing.T, routes []route, services ...string) *fleet {
	t.Helper()
	f := newFleet(t, services...)
	for _, h := range f.hosts {
		f.startWorker(h)
	}
	f.configure(routes...)
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	return f
}

// reply is what a caller saw.
type reply struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

// whole reports whether the reply is a target's whole answer to the request.
func (r reply) whole() bool {
	return r.err == nil && r.status == http.StatusOK && r.body == "answer to "+r.id &&
		strings.HasPrefix(r.header.Get("X-Response-Signature"), "signed-by-")
}

func (r reply) String() string {
	return fmt.Sprintf("%s: %d %q %v %v", r.id, r.status, r.body, r.header, r.err)
}

// freshClient opens a connection for each request.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends a request to the node on a host.
func (h *host) ask(client *http.Client, method, path, body string) reply {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never returns an error
	id := hex.EncodeToString(raw[:])
	request, err := http.NewRequest(method, "http://"+h.at(callPort)+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = authority
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	response, err := client.Do(request)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }() // the body was read
	data, err := io.ReadAll(response.Body)
	return reply{id: id, status: response.StatusCode, body: string(data), header: response.Header, err: err}
}

// runs returns how often each request was run, over all workers that ever ran.
func runs(workers []*standin.Worker) map[string]int {
	count := map[string]int{}
	for _, w := range workers {
		for _, r := range w.Runs() {
			count[r.ID]++
		}
	}
	return count
}
