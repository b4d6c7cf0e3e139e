// Package loopback selects addresses of the range 127.0.0.0/8 for programs and tests that
// run beside others on one machine. They differ by IP address and keep their ports, which
// lie below the ephemeral range: a port that the system chose can be taken by another
// program between the moment it is found free and the moment it is listened on again.
package loopback

import (
	"crypto/rand"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	// secondBytes is the number of values of an address's second byte, from 1 on.
	secondBytes = 250
	// subnetsPerSecondByte is the number of subnets whose addresses share the second byte.
	subnetsPerSecondByte = 28
	// blocksPerSubnet is the number of blocks for hosts in a subnet.
	blocksPerSubnet = 4
	// lastBytes is the number of values of the last byte that no host of a subnet has.
	lastBytes = 50
	// hostsPerBlock is the number of hosts that share the first three bytes of an address.
	hostsPerBlock = 200
	// maxAttempts bounds the search for free addresses.
	maxAttempts = 50
	// relayOffset is added to the third byte of a host's address for its relay address.
	// The third byte of a host's address is below it.
	relayOffset = 128

	// MaxHosts is the number of hosts of a subnet.
	MaxHosts = blocksPerSubnet * hostsPerBlock
)

// Subnet is the part of the loopback range that one fleet uses: four blocks for hosts and
// four for relays.
type Subnet struct {
	// secondByte is the second byte of all addresses, thirdByte the third byte of the
	// first block.
	secondByte byte
	thirdByte  byte
}

// FreeSubnet selects a random subnet in which no program listens on the given ports of the
// first host. It returns an error if it finds none in maxAttempts attempts.
func FreeSubnet(ports ...uint16) (Subnet, error) {
	for range maxAttempts {
		var b [2]byte
		_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
		s := Subnet{secondByte: 1 + b[0]%secondBytes, thirdByte: b[1] % subnetsPerSecondByte * blocksPerSubnet}
		if portsFree(s.Host(0), ports) {
			return s, nil
		}
	}
	return Subnet{}, errors.New("no free subnet in the loopback range")
}

// FreeHost selects a random address, outside all subnets, at which no program listens on
// the given ports. It returns an error if it finds none in maxAttempts attempts.
func FreeHost(ports ...uint16) (netip.Addr, error) {
	for range maxAttempts {
		var b [3]byte
		_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
		a := netip.AddrFrom4([4]byte{127, 1 + b[0]%secondBytes, b[1], hostsPerBlock + 1 + b[2]%lastBytes})
		if portsFree(a, ports) {
			return a, nil
		}
	}
	return netip.Addr{}, errors.New("no free address in the loopback range")
}

// portsFree reports whether the ports of an address can be listened on.
func portsFree(a netip.Addr, ports []uint16) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(a, port).String())
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// Host returns the address of the host with the given index.
func (s Subnet) Host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.secondByte, s.thirdByte + byte(i/hostsPerBlock), byte(1 + i%hostsPerBlock)})
}

// Relay returns the address at which a relay listens for the host with the given index.
func (s Subnet) Relay(i int) netip.Addr {
	a := s.Host(i).As4()
	a[2] += relayOffset
	return netip.AddrFrom4(a)
}
