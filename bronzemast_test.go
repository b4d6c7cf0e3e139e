package bronzemast_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/bronzemast/bronzemast"
	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/examples"
	"github.com/bronzemast/bronzemast/internal/loopback"
	"github.com/bronzemast/bronzemast/internal/observe"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

const (
	nodeCount = 3
	// eventualTimeout bounds each wait of a test.
	eventualTimeout = 30 * time.Second
)

// settingsTemplate is the format string of a node's settings. Its arguments are the host
// ID, call address, peer address, target address, URL of the platform and operator
// address.
const settingsTemplate = `{
  "fleet": "clearplate",
  "host": {"id": %q, "region": "r", "failure_domain": "d", "service": "renewals", "call_address": %q, "peer_address": %q},
  "target": {"address": %q},
  "plugins": {
    "source": {"platform": [%q], "watch_wait": "200ms"},
    "operator": {"address": %q},
    "distribution": {"settle_alone_timeout": "200ms"},
    "draining": {"linger": "100ms"}
  }
}`

const (
	callPort     = 7000
	peerPort     = 7001
	operatorPort = 7070
)

// newNodes creates nodes for the example configuration clearplate.
func newNodes(g *WithT, platformURL, targetAddress string) ([]*bronzemast.Node, *model.HostList) {
	list := &model.HostList{Revision: 1}
	var nodes []*bronzemast.Node
	for i := range nodeCount {
		ip, err := loopback.FreeHost(callPort, peerPort, operatorPort)
		g.Expect(err).NotTo(HaveOccurred())
		at := func(port uint16) string { return netip.AddrPortFrom(ip, port).String() }
		text := fmt.Sprintf(settingsTemplate, fmt.Sprintf("renewals-%d", i+1), at(callPort), at(peerPort), targetAddress, platformURL, at(operatorPort))
		settings, err := kernel.ParseSettings("settings", []byte(text))
		g.Expect(err).NotTo(HaveOccurred())
		log, err := kernel.NewEventLog(settings, io.Discard)
		g.Expect(err).NotTo(HaveOccurred())
		node, err := bronzemast.New(settings, log)
		g.Expect(err).NotTo(HaveOccurred())
		list.Hosts = append(list.Hosts, settings.Host)
		nodes = append(nodes, node)
	}
	return nodes, list
}

// publish stores release 1 of the example and the host list on the platform.
func publish(g *WithT, p *platform.Server, list *model.HostList) {
	sources, err := observe.LoadExample("clearplate")
	g.Expect(err).NotTo(HaveOccurred())
	release, err := config.Build(sources, 1, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.PutHosts(list)).To(Succeed())
	p.PutRelease(release)
}

// getCertificate sends an idempotent call to a node and returns the response's status.
func getCertificate(client *http.Client, address string) (int, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/certificates/1", nil)
	if err != nil {
		return 0, err
	}
	request.Host = "renewals"
	request.Header.Set("Authorization", "Bearer "+examples.CredentialOf("proprietors-portal"))
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func TestStoppedNodesLeakNoGoroutines(t *testing.T) {
	before := goleak.IgnoreCurrent()
	runNodes(t)
	goleak.VerifyNone(t, before)
}

// runNodes starts nodes, sends a call to each and stops them.
func runNodes(t *testing.T) {
	g := NewWithT(t)
	standIn := platform.New()
	server := httptest.NewServer(standIn)
	defer server.Close()
	behaviour := target.DefaultBehaviour()
	localTarget, err := target.Start(target.Options{Address: "127.0.0.1:0", Behaviour: behaviour, Seed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	defer localTarget.Stop()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()

	nodes, list := newNodes(g, server.URL, localTarget.Address())
	publish(g, standIn, list)
	ctx, cancel := context.WithTimeout(t.Context(), 2*eventualTimeout)
	defer cancel()
	for _, node := range nodes {
		g.Expect(node.Start(ctx)).To(Succeed())
	}
	for _, host := range list.Hosts {
		g.Eventually(getCertificate).WithArguments(client, host.CallAddress).WithTimeout(eventualTimeout).Should(Equal(http.StatusOK))
	}
	for _, node := range nodes {
		g.Expect(node.Shutdown(ctx)).To(Succeed())
	}
}

func TestUnstartedNodesLeakNoGoroutines(t *testing.T) {
	g := NewWithT(t)
	before := goleak.IgnoreCurrent()
	nodes, _ := newNodes(g, "http://127.0.0.1:1", "127.0.0.1:1")
	for _, node := range nodes {
		g.Expect(node.Shutdown(t.Context())).To(Succeed())
	}
	goleak.VerifyNone(t, before)
}
