package forwarding

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/loopback"
	"github.com/bronzemast/bronzemast/internal/relay"
	standin "github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/keys"
	"github.com/bronzemast/bronzemast/model"
	_ "github.com/bronzemast/bronzemast/plugins/balancing"
	_ "github.com/bronzemast/bronzemast/plugins/draining"
	_ "github.com/bronzemast/bronzemast/plugins/quarantine"
	_ "github.com/bronzemast/bronzemast/plugins/transport"
)

// mesh is a set of nodes in one process with real listeners.
type mesh struct {
	t        testing.TB
	snapshot *config.Snapshot
	// authority signs the keys of the nodes. If it is nil, they have no keys.
	authority *keys.Pair
	plugins   map[string]string

	mu      sync.Mutex
	members []model.Member
	relay   *relay.Relay
	nodes   map[model.HostID]*node
	client  *http.Client
}

type node struct {
	*fakes
	host   model.Host
	kernel *kernel.Kernel
	target *standin.Target
}

const (
	credential  = "orders-secret"
	testService = "assessments"
)

func newMesh(t testing.TB) *mesh {
	m := &mesh{t: t, nodes: map[model.HostID]*node{}, relay: relay.New(), plugins: map[string]string{}, snapshot: testSnapshot(t, 1)}
	m.plugins["draining"] = `{"linger": "50ms"}`
	m.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(func() {
		m.client.CloseIdleConnections()
		for _, n := range m.nodes {
			n.stop()
		}
		m.relay.Close()
	})
	return m
}

// member returns the node's entry in the host list. Its peer address is that of the
// relay.
func (m *mesh) member(n *node) model.Member {
	listed := n.host
	ip := netip.MustParseAddrPort(listed.PeerAddress).Addr()
	listed.PeerAddress = netip.AddrPortFrom(ip, testRelayPort).String()
	if err := m.relay.Add(string(n.host.ID), ip, listed.PeerAddress, n.host.PeerAddress); err != nil {
		m.t.Fatal(err)
	}
	return model.Member{Host: listed}
}

// fault applies a fault to all connections to the peer address of a node.
func (m *mesh) fault(n *node, fault relay.Fault) {
	m.relay.SetRule(func(_, destination string) (relay.Fault, time.Duration) {
		if destination == string(n.host.ID) {
			return fault, 0
		}
		return relay.Pass, 0
	})
}

// testSnapshot returns a snapshot that grants the caller orders the given routes, or
// all but "closed" if none are given.
func testSnapshot(t testing.TB, number uint64, routes ...string) *config.Snapshot {
	if len(routes) == 0 {
		routes = []string{"lookup", "head", "pay", "audit"}
	}
	service := &config.Service{
		Name: testService, Team: "clearplate", Slots: 10, Connections: 100, Deadline: 10 * time.Second, RetryRatio: 0.1,
		Routes: []*config.Route{
			{Name: "lookup", Method: "GET", PathPrefix: "/status", Idempotent: true, Cost: 1},
			{Name: "head", Method: "HEAD", PathPrefix: "/status", Idempotent: true, Cost: 1},
			{Name: "pay", Method: "POST", PathPrefix: "/fees", Cost: 1},
			{Name: "audit", Method: "GET", PathPrefix: "/once", Cost: 1},
			{Name: "closed", PathPrefix: "/closed", Cost: 1},
		},
	}
	s, err := config.NewSnapshot(config.SnapshotContents{
		Number:   number,
		Services: []*config.Service{service},
		Callers: []*config.Caller{
			{Name: "orders", Team: "clearplate", Credentials: []config.Digest{config.DigestOf([]byte(credential))}},
			{Name: "stranger", Team: "clearplate", Credentials: []config.Digest{config.DigestOf([]byte("stranger-secret"))}},
		},
		Grants: []*config.Grant{{Caller: "orders", Service: testService, Routes: routes, Rate: 1e6, Burst: 100, Share: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (m *mesh) view() *model.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return model.NewView(1, append([]model.Member(nil), m.members...))
}

func (m *mesh) setState(id model.HostID, state model.MemberState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.members {
		if m.members[i].ID == id {
			m.members[i].State = state
		}
	}
}

// The ports of each node. They are below the ephemeral port range, so that a node
// can listen on them again after a restart.
const (
	testCallPort  = 7000
	testPeerPort  = 7001
	testRelayPort = 7002
)

// add starts a node, with a test target if service is set.
func (m *mesh) add(id model.HostID, service string) *node {
	ip, err := loopback.FreeHost(testCallPort, testPeerPort, testRelayPort)
	if err != nil {
		m.t.Fatal(err)
	}
	n := &node{host: model.Host{
		ID: id, Region: "east", Domain: "east-1", Service: service,
		CallAddress: netip.AddrPortFrom(ip, testCallPort).String(),
		PeerAddress: netip.AddrPortFrom(ip, testPeerPort).String(),
	}}
	if service != "" {
		var err error
		n.target, err = standin.Start(standin.Options{Address: "127.0.0.1:0", Behaviour: fastBehaviour(), Seed: 1})
		if err != nil {
			m.t.Fatal(err)
		}
	}
	listed := m.member(n)
	m.mu.Lock()
	m.members = append(m.members, listed)
	m.mu.Unlock()
	m.nodes[id] = n
	m.start(n)
	return n
}

func fastBehaviour() standin.Behaviour {
	b := standin.DefaultBehaviour()
	b.ServiceTime = 0
	return b
}

func (m *mesh) start(n *node) {
	n.fakes = &fakes{
		fleet:         &fakeFleet{mesh: m, self: n.host.ID},
		configuration: &fakeConfiguration{mesh: m},
		admitter:      &fakeAdmitter{},
		recorder:      &fakeRecorder{},
		mux:           &fakeMux{},
	}
	fakesByHost.Store(n.host.ID, n.fakes)
	settings := &kernel.Settings{Fleet: "test", Host: n.host, Plugins: map[string]*kernel.Section{}}
	if n.target != nil {
		settings.TargetAddress = n.target.Address()
	}
	for name, text := range m.plugins {
		settings.Plugins[name] = kernel.NewSection(text)
	}
	if m.authority != nil {
		settings.Plugins["transport"] = kernel.NewSection(m.keysOf(n.host.ID))
	}
	k, err := kernel.New(settings, event.NewDiscardLog())
	if err != nil {
		m.t.Fatal(err)
	}
	n.kernel = k
	if err := k.Start(context.Background()); err != nil {
		m.t.Fatal(err)
	}
}

// keysOf writes the key files of a host and returns the transport settings that
// refer to them.
func (m *mesh) keysOf(id model.HostID) string {
	pair, err := keys.IssueNode(m.authority, string(id), time.Hour, time.Now())
	if err != nil {
		m.t.Fatal(err)
	}
	dir := m.t.TempDir()
	files := map[string][]byte{"certificate": pair.Certificate, "key": pair.Key, "authority": m.authority.Certificate}
	names := map[string]string{}
	for name, data := range files {
		names[name] = filepath.Join(dir, name)
		if err := os.WriteFile(names[name], data, 0o600); err != nil {
			m.t.Fatal(err)
		}
	}
	text, err := json.Marshal(map[string]any{"peer_keys": names})
	if err != nil {
		m.t.Fatal(err)
	}
	return string(text)
}

// stop stops the node and its target. It is idempotent.
func (n *node) stop() {
	if n.kernel != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = n.kernel.Stop(ctx)
		n.kernel = nil
	}
	if n.target != nil {
		n.target.Stop()
	}
}

// crash stops the node without waiting for its calls. It reverts the announcement
// that the node is leaving, since a crashed process makes none.
func (n *node) crash() {
	defer n.fleet.mesh.setState(n.host.ID, model.MemberLive)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.kernel.Stop(ctx)
	n.kernel = nil
}

// callResult is the response received by a caller.
type callResult struct {
	status  int
	outcome string
	reason  string
	header  http.Header
	body    []byte
	err     error
}

// request builds an authorized request to a node.
func (m *mesh) request(n *node, method, path, id string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, "http://"+n.host.CallAddress+path, body)
	if err != nil {
		m.t.Fatal(err)
	}
	r.Host = testService
	r.Header.Set("Authorization", "Bearer "+credential)
	r.Header.Set(model.HeaderRequestID, id)
	return r
}

func (m *mesh) do(r *http.Request) callResult {
	resp, err := m.client.Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callResult{
		status: resp.StatusCode, outcome: resp.Header.Get(model.HeaderOutcome), reason: resp.Header.Get(model.HeaderReason),
		header: resp.Header, body: body, err: err,
	}
}

func (m *mesh) get(n *node, path, id string) callResult {
	return m.do(m.request(n, http.MethodGet, path, id, nil))
}

func (m *mesh) post(n *node, path, id, body string) callResult {
	return m.do(m.request(n, http.MethodPost, path, id, strings.NewReader(body)))
}

func expectRan(g *WithT, a callResult, id string, size int) {
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.outcome).To(Equal("ran"), "status %d, reason %s", a.status, a.reason)
	g.Expect(a.status).To(Equal(http.StatusOK))
	g.Expect(standin.VerifyResponse(id, size, a.body)).To(Succeed())
}

func TestCallPassesBothNodes(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	entry := m.add("a", "")
	targetNode := m.add("b", testService)
	for i := range 20 {
		id := fmt.Sprintf("call-%d", i)
		expectRan(g, m.get(entry, "/status/1?size=100", id), id, 100)
		expectRan(g, m.post(entry, "/fees/1", "p"+id, "amount=3"), "p"+id, 0)
		g.Expect(targetNode.target.ExecutionLog().Started(id)).To(Equal(1))
	}
	g.Expect(entry.recorder.of(model.RoleEntry)).To(HaveLen(40))
	g.Expect(targetNode.recorder.of(model.RoleTarget)).To(HaveLen(40))
}

func bodySum(body []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16)
}
