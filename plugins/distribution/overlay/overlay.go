// Package overlay selects the peers that a node dials. The selection is a pure
// function of the host list and of the hosts that are down as seen by the node.
package overlay

import (
	"cmp"
	"slices"

	"github.com/bronzemast/bronzemast/model"
	"github.com/cespare/xxhash/v2"
)

// Class is the kind of a link, by the location of the peer.
type Class uint8

// The classes of links.
const (
	// ClassRing links lead to the next host on the hash ring, so that each host is
	// dialled by at least one other.
	ClassRing Class = iota
	// ClassDomain links lead to a host in the same failure domain.
	ClassDomain
	// ClassRegion links lead to another failure domain in the same region.
	ClassRegion
	// ClassWorld links lead to another region.
	ClassWorld
)

var classNames = [...]string{"ring", "domain", "region", "world"}

// String returns the lower-case name of the class.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// maxSkipped is the number of hosts found to be down after which the search for
// substitutes in a class ends.
const maxSkipped = 8

// Counts is the number of links per class.
type Counts struct {
	Ring, Domain, Region, World int
}

// Total returns the number of links in all classes.
func (c Counts) Total() int {
	return c.Ring + c.Domain + c.Region + c.World
}

// Choice is a peer selected for dialling.
type Choice struct {
	Host  model.Host
	Class Class
	// Substitute is set if the peer replaces a higher ranked one that is down. The
	// higher ranked one is still dialled, so that the link to it is restored once
	// it is up.
	Substitute bool
}

// Choose returns the peers that self dials. The order of hosts does not matter,
// and hosts may contain self. Each class gets its highest ranked hosts, whether
// down or not, and a substitute for each that is down. If a class has too few
// hosts, hosts of any class fill the missing links, so that small fleets have as
// many links.
func Choose(self model.Host, hosts []model.Host, isDown func(model.HostID) bool, counts Counts) []Choice {
	c := chooser{self: self, hosts: hosts, isDown: isDown, excluded: map[model.HostID]bool{self.ID: true}}
	c.addRing(counts.Ring)
	ranked := c.rankByRendezvous()
	missing := c.addClass(ranked, ClassDomain, counts.Domain)
	missing += c.addClass(ranked, ClassRegion, counts.Region)
	missing += c.addClass(ranked, ClassWorld, counts.World)
	c.addAnyClass(ranked, missing)
	return c.chosen
}

type chooser struct {
	self   model.Host
	hosts  []model.Host
	isDown func(model.HostID) bool
	// excluded contains self and the hosts already chosen.
	excluded map[model.HostID]bool
	chosen   []Choice
}

// candidate is a host that may be chosen. A lower score ranks higher.
type candidate struct {
	score uint64
	// index is the position in chooser.hosts.
	index int
	class Class
}

// addRing adds the hosts that follow self on the hash ring.
func (c *chooser) addRing(count int) {
	if count <= 0 {
		return
	}
	selfPosition := ringPosition(c.self.ID)
	following := c.candidates(func(h *model.Host) (uint64, Class) {
		return ringPosition(h.ID) - selfPosition, ClassRing
	})
	c.addClass(following, ClassRing, count)
}

// rankByRendezvous sorts the other hosts by their rendezvous hash with self.
func (c *chooser) rankByRendezvous() []candidate {
	s := newScorer(c.self.ID)
	return c.candidates(func(h *model.Host) (uint64, Class) {
		return s.score(h.ID), classOf(&c.self, h)
	})
}

// candidates returns the other hosts in ascending order of their score.
func (c *chooser) candidates(scoreAndClass func(*model.Host) (uint64, Class)) []candidate {
	all := make([]candidate, 0, len(c.hosts))
	for i := range c.hosts {
		if c.hosts[i].ID == c.self.ID {
			continue
		}
		score, class := scoreAndClass(&c.hosts[i])
		all = append(all, candidate{score: score, index: i, class: class})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.score != b.score {
			return cmp.Compare(a.score, b.score)
		}
		return cmp.Compare(c.hosts[a.index].ID, c.hosts[b.index].ID)
	})
	return all
}

// addClass adds the first count hosts of the class and live substitutes for those
// that are down. It returns the number of links to live hosts that are missing.
// The search for substitutes ends after maxSkipped hosts that are down, which
// happens if a network partition cuts off the whole class.
func (c *chooser) addClass(ranked []candidate, class Class, count int) int {
	return c.addMatching(ranked, count, maxSkipped, func(k Class) bool { return k == class })
}

// addAnyClass adds count hosts of any class, with live substitutes for those that
// are down.
func (c *chooser) addAnyClass(ranked []candidate, count int) {
	c.addMatching(ranked, count, len(ranked), func(Class) bool { return true })
}

// addMatching adds the first count candidates whose class matches, and a live
// substitute for each of them that is down, until it has skipped skipLimit
// substitutes that are down. It returns the number of links to live hosts that are
// missing.
func (c *chooser) addMatching(ranked []candidate, count, skipLimit int, match func(Class) bool) int {
	added, live, skipped := 0, 0, 0
	for _, k := range ranked {
		if live >= count || skipped >= skipLimit {
			break
		}
		host := &c.hosts[k.index]
		if !match(k.class) || c.excluded[host.ID] {
			continue
		}
		down := c.isDown(host.ID)
		substitute := added >= count
		if down && substitute {
			skipped++
			continue
		}
		added++
		if !down {
			live++
		}
		c.excluded[host.ID] = true
		c.chosen = append(c.chosen, Choice{Host: *host, Class: k.class, Substitute: substitute})
	}
	return count - live
}

func classOf(self, other *model.Host) Class {
	switch {
	case self.Region != other.Region:
		return ClassWorld
	case self.Domain != other.Domain:
		return ClassRegion
	}
	return ClassDomain
}

// scorer computes the rendezvous hashes of one host with others.
type scorer struct {
	// buffer starts with the host's ID and a zero byte, prefix bytes in all.
	buffer []byte
	prefix int
}

func newScorer(from model.HostID) *scorer {
	buffer := append([]byte(from), 0)
	return &scorer{buffer: buffer, prefix: len(buffer)}
}

func (s *scorer) score(to model.HostID) uint64 {
	s.buffer = append(s.buffer[:s.prefix], to...)
	return xxhash.Sum64(s.buffer)
}

// ringPosition returns the position of a host on the hash ring.
func ringPosition(id model.HostID) uint64 {
	return xxhash.Sum64String(string(id))
}
