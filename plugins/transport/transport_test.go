package transport

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/internal/loopback"
	"github.com/bronzemast/bronzemast/keys"
	"github.com/bronzemast/bronzemast/model"
)

// writeKeyFiles writes the key files of a host and returns their settings.
func writeKeyFiles(g *WithT, dir string, authority *keys.Pair, host string) KeySettings {
	pair, err := keys.IssueNode(authority, host, time.Hour, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	s := KeySettings{
		Certificate: filepath.Join(dir, host+".crt"),
		Key:         filepath.Join(dir, host+".key"),
		Authority:   filepath.Join(dir, "authority.crt"),
	}
	g.Expect(os.WriteFile(s.Key, pair.Key, 0o600)).To(Succeed())
	g.Expect(os.WriteFile(s.Certificate, pair.Certificate, 0o600)).To(Succeed())
	g.Expect(os.WriteFile(s.Authority, authority.Certificate, 0o600)).To(Succeed())
	return s
}

// writeKeyFilesWithoutHost writes key files whose certificate is signed by authority
// but names no host.
func writeKeyFilesWithoutHost(g *WithT, dir string, authority *keys.Pair) KeySettings {
	s := writeKeyFiles(g, dir, authority, "unnamed")
	signer, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	g.Expect(err).NotTo(HaveOccurred())
	pair, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	g.Expect(err).NotTo(HaveOccurred())
	template := *pair.Leaf
	template.DNSNames = nil
	der, err := x509.CreateCertificate(rand.Reader, &template, signer.Leaf, pair.Leaf.PublicKey, signer.PrivateKey)
	g.Expect(err).NotTo(HaveOccurred())
	encoded := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	g.Expect(os.WriteFile(s.Certificate, encoded, 0o600)).To(Succeed())
	return s
}

func newAuthority(g *WithT) *keys.Pair {
	authority, err := keys.NewAuthority("test", time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	return authority
}

const (
	testCallPort = 7000
	testPeerPort = 7001
)

// newTestHost returns a host at an address where nothing listens.
func newTestHost(g *WithT) model.Host {
	ip, err := loopback.FreeHost(testCallPort, testPeerPort)
	g.Expect(err).NotTo(HaveOccurred())
	return model.Host{
		CallAddress: netip.AddrPortFrom(ip, testCallPort).String(),
		PeerAddress: netip.AddrPortFrom(ip, testPeerPort).String(),
	}
}

// newTestTransport returns a transport without a kernel.
func newTestTransport() *Transport {
	t := newTransport()
	t.doc = jsonc.Absent("settings", "plugins.transport")
	t.log = event.NewDiscardLog()
	return t
}

// startServer starts a transport that responds with the peer's identity at /who.
func startServer(t *testing.T, g *WithT, keys KeySettings) *Transport {
	s := newTestTransport()
	s.host = newTestHost(g)
	s.settings.PeerKeys = keys
	var findings finding.List
	s.Validate(&findings)
	g.Expect(findings.Err()).NotTo(HaveOccurred())
	s.HandlePeer("/who", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, string(s.PeerIdentity(r)))
	}))
	g.Expect(s.Start(t.Context())).To(Succeed())
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func newClient(g *WithT, settings KeySettings) *Transport {
	c := newTestTransport()
	c.settings.PeerKeys = settings
	var findings finding.List
	c.Validate(&findings)
	g.Expect(findings.Err()).NotTo(HaveOccurred())
	return c
}

// requestIdentity returns the identity of c that s responds with.
func requestIdentity(ctx context.Context, c *Transport, s *Transport) (string, error) {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return c.DialPeer(ctx, address) }
	client := http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.host.PeerAddress+"/who", nil)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return "", errors.Errorf("status %d", response.StatusCode)
	}
	return string(body), err
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	authority := newAuthority(g)
	server := startServer(t, g, writeKeyFiles(g, dir, authority, "server"))
	client := newClient(g, writeKeyFiles(g, dir, authority, "client"))
	g.Expect(requestIdentity(t.Context(), client, server)).To(Equal("client"))
}

func TestPeersOfAnotherAuthorityAreRejected(t *testing.T) {
	g := NewWithT(t)
	server := startServer(t, g, writeKeyFiles(g, t.TempDir(), newAuthority(g), "server"))
	foreign := newClient(g, writeKeyFiles(g, t.TempDir(), newAuthority(g), "server"))
	_, err := requestIdentity(t.Context(), foreign, server)
	g.Expect(err).To(HaveOccurred())
	_, err = requestIdentity(t.Context(), newClient(g, KeySettings{}), server)
	g.Expect(err).To(HaveOccurred(), "peer without keys")
}

func TestCertificatesWithoutHostAreRejected(t *testing.T) {
	g := NewWithT(t)
	authority := newAuthority(g)
	named := writeKeyFiles(g, t.TempDir(), authority, "named")
	unnamed := writeKeyFilesWithoutHost(g, t.TempDir(), authority)
	_, err := requestIdentity(t.Context(), newClient(g, unnamed), startServer(t, g, named))
	g.Expect(err).To(HaveOccurred(), "client certificate without a host")
	_, err = requestIdentity(t.Context(), newClient(g, named), startServer(t, g, unnamed))
	g.Expect(err).To(MatchError(ContainSubstring("names no host")))
}

func TestChangedKeyFilesAreReloaded(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	first := newAuthority(g)
	server := startServer(t, g, writeKeyFiles(g, dir, first, "server"))
	second := newAuthority(g)
	client := newClient(g, writeKeyFiles(g, t.TempDir(), second, "client"))
	_, err := requestIdentity(t.Context(), client, server)
	g.Expect(err).To(HaveOccurred())

	writeKeyFiles(g, dir, second, "server")
	earlier := time.Now().Add(-time.Hour) // files copied from elsewhere may keep an older time
	for _, name := range []string{"server.crt", "server.key", "authority.crt"} {
		g.Expect(os.Chtimes(filepath.Join(dir, name), earlier, earlier)).To(Succeed())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	g.Eventually(func() (string, error) { return requestIdentity(ctx, client, server) }).WithContext(ctx).Should(Equal("client"))
}

func TestUnreadableKeysAreReported(t *testing.T) {
	g := NewWithT(t)
	c := newTestTransport()
	c.settings.PeerKeys = KeySettings{Certificate: "absent.crt", Key: "absent.key"}
	c.settings.MaxHeaderBytes = 0
	var findings finding.List
	c.Validate(&findings)
	g.Expect(findings.Err()).To(MatchError(And(
		ContainSubstring("absent.crt"),
		ContainSubstring("max_header_bytes"),
	)))
}

func TestAddressesAreFreeAfterStop(t *testing.T) {
	g := NewWithT(t)
	for range 50 {
		s := startServer(t, g, KeySettings{})
		stopped, cancel := context.WithCancel(t.Context())
		cancel()
		g.Expect(s.Stop(stopped)).To(Succeed())
		for _, address := range []string{s.host.CallAddress, s.host.PeerAddress} {
			listener, err := net.Listen("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(listener.Close()).To(Succeed())
		}
	}
}

// The handler does not read the body, and the rest of it never arrives.
func TestABodyThatStopsEndsItsConnection(t *testing.T) {
	g := NewWithT(t)
	s := httptest.NewServer(limitBodyTime(http.NotFoundHandler(), time.Millisecond))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: node\r\nContent-Length: 10\r\n\r\nbody")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred(), "the server closes the connection")
}

func TestKeyFilesWithOlderModificationTimeAreReloaded(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	authority := newAuthority(g)
	settings := writeKeyFiles(g, dir, authority, "server")
	newest := time.Now()
	g.Expect(os.Chtimes(settings.Authority, newest, newest)).To(Succeed())
	pair, err := newKeyPair(settings, func(error) {})
	g.Expect(err).NotTo(HaveOccurred())
	before, _ := pair.get()

	writeKeyFiles(g, dir, authority, "server")
	earlier := time.Now().Add(-time.Hour) // files copied from elsewhere may keep an older time
	g.Expect(os.Chtimes(settings.Certificate, earlier, earlier)).To(Succeed())
	g.Expect(os.Chtimes(settings.Key, earlier, earlier)).To(Succeed())
	g.Expect(os.Chtimes(settings.Authority, newest, newest)).To(Succeed())
	pair.lastCheck = time.Time{}
	after, _ := pair.get()
	g.Expect(after.Certificate[0]).NotTo(Equal(before.Certificate[0]))
}
