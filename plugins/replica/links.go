package replica

import (
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"

	"github.com/bronzemast/bronzemast/model"
	"github.com/cespare/xxhash/v2"
)

// links holds the link rates, in Mbit/s, that the hosts of the own failure domain have
// reported. Nodes exchange them with their requests and responses. It is not safe for
// concurrent use.
type links struct {
	rates map[netip.Addr]float64
	// digest is a hash of the rates, which are only sent to nodes with another digest.
	digest uint64
}

// peerLink is the link rate of one host as it is sent to a peer.
type peerLink struct {
	_       struct{} `cbor:",toarray"`
	Address netip.Addr
	Mbps    float64
}

func newLinks() *links {
	l := &links{rates: map[netip.Addr]float64{}}
	l.updateDigest()
	return l
}

// record sets the rate of a host's link, in Mbit/s, and updates the digest.
func (l *links) record(host netip.Addr, mbps float64) {
	if l.set(host, mbps) {
		l.updateDigest()
	}
}

// set sets the rate of a host's link, in Mbit/s, and reports whether it changed. Rates
// that are not positive and finite are ignored.
func (l *links) set(host netip.Addr, mbps float64) bool {
	if mbps <= 0 || math.IsInf(mbps, 0) || math.IsNaN(mbps) || l.rates[host] == mbps {
		return false
	}
	l.rates[host] = mbps
	return true
}

// apply applies the rates received from a peer to the hosts that the node knows.
func (l *links) apply(received []peerLink, known []model.TargetHost) {
	if len(received) == 0 {
		return
	}
	listed := addresses(known)
	changed := false
	for _, link := range received {
		if listed[link.Address] && l.set(link.Address, link.Mbps) {
			changed = true
		}
	}
	if changed {
		l.updateDigest()
	}
}

// retain drops the hosts that are no longer known, except the own one.
func (l *links) retain(self netip.Addr, known []model.TargetHost) {
	listed := addresses(known)
	for host := range l.rates {
		if host != self && !listed[host] {
			delete(l.rates, host)
		}
	}
	l.updateDigest()
}

func addresses(hosts []model.TargetHost) map[netip.Addr]bool {
	listed := make(map[netip.Addr]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Address] = true
	}
	return listed
}

// sorted returns the link rates in the order of the hosts' addresses.
func (l *links) sorted() []peerLink {
	entries := make([]peerLink, 0, len(l.rates))
	for _, host := range slices.SortedFunc(maps.Keys(l.rates), netip.Addr.Compare) {
		entries = append(entries, peerLink{Address: host, Mbps: l.rates[host]})
	}
	return entries
}

// updateDigest recomputes the digest.
func (l *links) updateDigest() {
	digest := xxhash.New()
	for _, link := range l.sorted() {
		address := link.Address.As16()
		_, _ = digest.Write(address[:]) // a Digest never returns an error
		var rate [8]byte
		binary.BigEndian.PutUint64(rate[:], math.Float64bits(link.Mbps))
		_, _ = digest.Write(rate[:])
	}
	l.digest = digest.Sum64()
}
