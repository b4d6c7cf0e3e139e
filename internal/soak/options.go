// Package soak runs a fleet of real node processes of the profile sidecar, injects faults
// from outside of the processes in a random order that a seed determines, and checks the
// system's promises from what callers and workers observe.
package soak

import (
	"time"

	"github.com/pkg/errors"
)

// Options describe a run.
type Options struct {
	// Seed determines the events, their times and the requests of the callers.
	Seed uint64
	// Hosts is the number of hosts, which are spread over three failure domains.
	Hosts int
	// Duration is the time in which events start. The run then waits for recovery.
	Duration time.Duration
	// Binary is the path of the node program; the program is built if it is empty. Dir is
	// the directory of settings and logs; a temporary one is used if it is empty.
	Binary, Dir string
	// OlderBinary is the path of an earlier version of the node program. If it is set, every
	// second host starts with it, each planned restart changes the version, and the events
	// whose promises an earlier version need not know are left out.
	OlderBinary string
	// PlannedOnly restricts events to planned work: graceful stops, SIGHUP, and changes of
	// configurations and workers.
	PlannedOnly bool
}

const (
	minHosts = 3
	maxHosts = 200
)

func (o *Options) check() error {
	if o.Hosts < minHosts || o.Hosts > maxHosts {
		return errors.Errorf("number of hosts must be between %d and %d, got %d", minHosts, maxHosts, o.Hosts)
	}
	if o.Duration <= 0 {
		return errors.New("duration must be greater than 0")
	}
	return nil
}

// The bounds that the user documentation states.
const (
	// stabilityWindow is the time without faults after which the bounds on time hold.
	stabilityWindow = 3 * time.Second
	// storeWindow is the time after a fault of the store for which nodes may still act on
	// an old configuration.
	storeWindow = 5 * time.Second
	// drainBound is the time from the moment a worker is marked as draining within which
	// it may still start requests.
	drainBound = 2 * time.Second
	// configBound is the time from publication within which a configuration is in force.
	configBound = 2 * time.Second
	// unreadBound is the time from sending after which a request counts as read by the
	// node, so that planned work may no longer end its connection without a response.
	unreadBound = 200 * time.Millisecond
	// recoveryBound is the time from the end of the last event within which every host
	// serves every route again.
	recoveryBound = 15 * time.Second
)
