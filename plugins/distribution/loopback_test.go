package distribution

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/loopback"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	_ "github.com/bronzemast/bronzemast/plugins/transport"
	. "github.com/onsi/gomega"
)

const testFleet = "test"

// eventualTimeout bounds waits for conditions that must become true.
const eventualTimeout = 20 * time.Second

// releaseBuilder builds releases for tests.
type releaseBuilder struct {
	fleet    string
	number   uint64
	previous uint64
	parent   config.Digest
	parts    map[string]string
}

func (b *releaseBuilder) build() *config.Release {
	record := config.Record{
		Format: config.FormatVersion, Fleet: b.fleet, Number: b.number,
		Previous: b.previous, PreviousDigest: b.parent,
	}
	contents := map[config.Digest][]byte{}
	for name, text := range b.parts {
		digest := config.DigestOf([]byte(text))
		contents[digest] = []byte(text)
		record.Parts = append(record.Parts, config.PartRef{
			Kind: config.PartTeam, Name: name, Digest: digest, Size: len(text),
		})
	}
	config.SortParts(record.Parts)
	record.ContentDigest = config.DigestParts(record.Parts)
	raw, err := record.Encode()
	if err != nil {
		panic(err)
	}
	release, err := config.Assemble(raw, contents)
	if err != nil {
		panic(err)
	}
	return release
}

// chain returns releases 1 to n, each of which changes one of 20 parts.
func chain(n int) []*config.Release {
	b := &releaseBuilder{fleet: testFleet, parts: map[string]string{}}
	for i := range 20 {
		b.parts[fmt.Sprintf("team-%02d", i)] = teamText(i, 0)
	}
	var all []*config.Release
	for i := 1; i <= n; i++ {
		b.number = uint64(i)
		b.previous = uint64(i - 1)
		b.parts[fmt.Sprintf("team-%02d", i%20)] = teamText(i%20, i)
		r := b.build()
		b.parent = config.DigestOf(r.Raw)
		all = append(all, r)
	}
	return all
}

// teamText returns a team part with eight callers. The change determines one of
// the credentials.
func teamText(team, change int) string {
	text := fmt.Sprintf("// Team %d.\n{\n  \"team\": \"team-%d\",\n  \"callers\": [\n", team, team)
	for i := range 8 {
		seed := fmt.Sprintf("%d/%d", team, i)
		if i == 3 {
			seed = fmt.Sprintf("%s/%d", seed, change)
		}
		credential := config.DigestOf([]byte(seed))
		text += fmt.Sprintf("    {\"name\": \"caller-%d-%d\", \"credentials\": [\"sha256:%s\"]},\n", team, i, credential)
	}
	return strings.TrimSuffix(text, ",\n") + "\n  ]\n}\n"
}

// platform is the fake platform that all fake readers of a fleet read.
type platform struct {
	mu      sync.Mutex
	head    []byte
	records map[uint64][]byte
	parts   map[config.Digest][]byte
	hosts   *model.HostList
	down    bool
	reads   int
}

func newPlatform() *platform {
	return &platform{records: map[uint64][]byte{}, parts: map[config.Digest][]byte{}}
}

// publish stores a release and makes it the head.
func (p *platform) publish(r *config.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records[r.Record.Number] = r.Raw
	for digest, data := range r.Parts {
		p.parts[digest] = data
	}
	p.head = r.Raw
}

func (p *platform) readCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *platform) setHosts(list *model.HostList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = list
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		view:     model.NewView(0, nil),
		seen:     map[model.Notice]bool{},
		evidence: map[model.Evidence]int{},
	}
}

var (
	fakesMu sync.Mutex
	// fakesOf lets the registered fake plug-ins find the fakes of their node.
	fakesOf = map[model.HostID]*fakes{}
)

// testNode is a node with the real plug-ins transport and distribution.
type testNode struct {
	host          model.Host
	fleetName     string
	settings      string
	kernel        *kernel.Kernel
	configuration model.Configuration
	fakes         *fakes
}

func (n *testNode) plugin() *Plugin {
	return n.configuration.(*Plugin)
}

func (n *testNode) release() uint64 {
	if s := n.configuration.Current(); s != nil {
		return s.Number
	}
	return 0
}

// loopbackFleet is a fleet of nodes on loopback addresses.
type loopbackFleet struct {
	t        testing.TB
	g        *WithT
	platform *platform
	nodes    []*testNode
}

const fastSettings = `{
	"settle_peers": 1, "settle_timeout": "500ms", "settle_alone_timeout": "2s",
	"handshake_rate": 500, "handshake_burst": 100, "starved_after": "1s"
}`

func newLoopbackFleet(t testing.TB, size int) *loopbackFleet {
	fleet := &loopbackFleet{t: t, g: NewWithT(t), platform: newPlatform()}
	list := &model.HostList{Revision: 1}
	subnet, err := loopback.FreeSubnet(testPort)
	fleet.g.Expect(err).NotTo(HaveOccurred())
	for i := range size {
		host := model.Host{
			ID:          model.HostID(fmt.Sprintf("%s-%02d", hostPrefix(t), i)),
			Region:      fmt.Sprintf("region-%d", i%2),
			Domain:      fmt.Sprintf("domain-%d", i%4),
			CallAddress: netip.AddrPortFrom(subnet.Host(i), 0).String(),
			PeerAddress: netip.AddrPortFrom(subnet.Host(i), testPort).String(),
		}
		list.Hosts = append(list.Hosts, host)
		fleet.nodes = append(fleet.nodes, &testNode{host: host, fleetName: testFleet, settings: fastSettings})
	}
	fleet.platform.setHosts(list)
	t.Cleanup(fleet.stopAll)
	return fleet
}

func hostPrefix(t testing.TB) string {
	prefix := ""
	for _, r := range t.Name() {
		if r >= 'a' && r <= 'z' {
			prefix += string(r)
		}
	}
	return prefix
}

const testPort = 9107

// start starts a node. If reading is set, it watches the platform.
func (fleet *loopbackFleet) start(i int, reading bool) *testNode {
	n := fleet.prepare(i, reading)
	fleet.g.Expect(n.kernel.Start(context.Background())).To(Succeed())
	return n
}

// prepare creates a node without starting it.
func (fleet *loopbackFleet) prepare(i int, reading bool) *testNode {
	n := fleet.nodes[i]
	n.fakes = &fakes{reader: &fakeReader{platform: fleet.platform, reading: reading}, fleet: newFakeFleet()}
	fakesMu.Lock()
	fakesOf[n.host.ID] = n.fakes
	fakesMu.Unlock()
	k, err := kernel.New(&kernel.Settings{
		Fleet:   n.fleetName,
		Host:    n.host,
		Plugins: map[string]*kernel.Section{"distribution": kernel.NewSection(n.settings)},
	}, event.NewDiscardLog())
	fleet.g.Expect(err).NotTo(HaveOccurred())
	n.kernel = k
	n.configuration, _ = kernel.Value[model.Configuration](k)
	return n
}

func (fleet *loopbackFleet) startAll(readers int) {
	for i := range fleet.nodes {
		fleet.start(i, i < readers)
	}
}

func (fleet *loopbackFleet) stop(i int) {
	if n := fleet.nodes[i]; n.kernel != nil {
		ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
		defer cancel()
		fleet.g.Expect(n.kernel.Stop(ctx)).To(Succeed())
		n.kernel = nil
	}
}

func (fleet *loopbackFleet) stopAll() {
	for i := range fleet.nodes {
		fleet.stop(i)
	}
}

// awaitRelease waits until all running nodes have applied the release.
func (fleet *loopbackFleet) awaitRelease(number uint64) {
	fleet.t.Helper()
	fleet.g.Eventually(func() map[model.HostID]uint64 {
		behind := map[model.HostID]uint64{}
		for _, n := range fleet.nodes {
			if n.kernel != nil && n.release() != number {
				behind[n.host.ID] = n.release()
			}
		}
		return behind
	}, eventualTimeout, 2*time.Millisecond).Should(BeEmpty())
}
