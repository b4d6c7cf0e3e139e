package loopback

import (
	"net"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

const testPort = 7000

func TestFreeHostIsInNoSubnet(t *testing.T) {
	g := NewWithT(t)
	for range 1000 {
		a, err := FreeHost()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.IsLoopback()).To(BeTrue())
		g.Expect(a.As4()[3]).To(BeNumerically(">", hostsPerBlock))
	}
}

func TestHostsAndRelaysOfASubnetDiffer(t *testing.T) {
	g := NewWithT(t)
	s, err := FreeSubnet(testPort)
	g.Expect(err).NotTo(HaveOccurred())
	seen := map[netip.Addr]bool{}
	for i := range MaxHosts {
		seen[s.Host(i)] = true
		seen[s.Relay(i)] = true
	}
	g.Expect(seen).To(HaveLen(2 * MaxHosts))
}

func TestOccupiedPortsAreNotFree(t *testing.T) {
	g := NewWithT(t)
	a, err := FreeHost(testPort)
	g.Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", netip.AddrPortFrom(a, testPort).String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }() // error irrelevant at the end of the test
	g.Expect(portsFree(a, []uint16{testPort})).To(BeFalse())
	g.Expect(portsFree(a, []uint16{testPort + 1})).To(BeTrue())
}
