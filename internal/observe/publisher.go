// Package observe reports the actions and results of publishers, nodes and callers in
// tests and in the demo to an invariant.Checker.
package observe

import (
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
)

// Publisher builds releases and publishes them on the platform, as an operator does.
type Publisher struct {
	platform *platform.Server
	checker  *invariant.Checker
	number   uint64
	last     *config.Record
	// lastGood is the number of the newest valid release.
	lastGood  uint64
	published map[uint64]time.Time
}

// NewPublisher returns a publisher that has published nothing.
func NewPublisher(p *platform.Server, c *invariant.Checker) *Publisher {
	return &Publisher{platform: p, checker: c, published: map[uint64]time.Time{}}
}

// Publish publishes sources as the next release, which must be valid.
func (p *Publisher) Publish(s *config.Sources) error {
	return p.publish(s, true)
}

// PublishInvalid publishes sources as the next release, which must be invalid, so that no
// node may accept it.
func (p *Publisher) PublishInvalid(s *config.Sources) error {
	return p.publish(s, false)
}

func (p *Publisher) publish(s *config.Sources, valid bool) error {
	release, err := config.Build(s, p.number+1, p.last)
	if err != nil {
		return err
	}
	p.number++
	p.last = &release.Record
	if valid {
		now := time.Now()
		p.checker.Published(p.number, release.Record.ContentDigest, now)
		p.published[p.number] = now
		p.lastGood = p.number
	}
	p.platform.PutRelease(release)
	return nil
}

// LastNumber returns the number of the newest release, 0 before the first one.
func (p *Publisher) LastNumber() uint64 {
	return p.number
}

// LastGood returns the number of the newest valid release, which nodes should have in
// force.
func (p *Publisher) LastGood() uint64 {
	return p.lastGood
}

// PublishTimes returns the time at which each valid release was published, by its number.
func (p *Publisher) PublishTimes() map[uint64]time.Time {
	return p.published
}

// LastRecord returns the record of the newest release, nil before the first one.
func (p *Publisher) LastRecord() *config.Record {
	return p.last
}

// ContinueFrom makes the next release the successor of r, which another publisher
// published.
func (p *Publisher) ContinueFrom(r *config.Record) {
	p.number, p.last = r.Number, r
}
