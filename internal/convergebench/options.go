// Package convergebench measures how fast a fleet of real node processes converges
// after configuration changes and what resources it uses, with and without faults.
package convergebench

import (
	"time"

	"github.com/pkg/errors"
)

// Fault is the fault injected in the middle third of the changes of a run.
type Fault string

// The faults.
const (
	FaultNone            Fault = "none"
	FaultKill            Fault = "kill"
	FaultPause           Fault = "pause"
	FaultSilence         Fault = "silence"
	FaultPartition       Fault = "partition"
	FaultSourceDown      Fault = "source-down"
	FaultSourceStale     Fault = "source-stale"
	FaultSourceBackwards Fault = "source-backwards"
	FaultSourceCorrupt   Fault = "source-corrupt"
	FaultRestartAll      Fault = "herd"
)

// Baseline is a simpler method of distribution to compare with.
type Baseline string

// The baselines.
const (
	// BaselineNone leaves the distribution unchanged.
	BaselineNone Baseline = "none"
	// BaselineSource makes each node read from the platform directly.
	BaselineSource Baseline = "source"
	// BaselineFullRelease sends full releases instead of deltas.
	BaselineFullRelease Baseline = "whole"
)

// Options configure a run.
type Options struct {
	Nodes    int
	Domains  int
	Regions  int
	Services int
	// Changes is the number of releases published after the first one.
	Changes int
	// Churn is the number of restarts of a host during the changes, at most one
	// after each change.
	Churn    int
	Fault    Fault
	Baseline Baseline
	Seed     uint64
	// WarmUp is the wait before the idle measurement, in which links and back-offs
	// settle. Idle is the duration of that measurement.
	WarmUp time.Duration
	Idle   time.Duration
	// Binary is the path of the node program; if empty, it is built.
	Binary string
}

// validate returns an error if a count is out of range.
func (o Options) validate() error {
	counts := []struct {
		name  string
		value int
	}{
		{"nodes", o.Nodes}, {"domains", o.Domains}, {"regions", o.Regions},
		{"services", o.Services}, {"changes", o.Changes},
	}
	for _, c := range counts {
		if c.value < 1 {
			return errors.Errorf("%s must be above 0", c.name)
		}
	}
	if o.Churn < 0 || o.Churn > o.Changes {
		return errors.Errorf("churn must be from 0 to the number of changes, %d", o.Changes)
	}
	return nil
}

// plugins returns the plug-in settings for a baseline.
func (b Baseline) plugins(platformURL string, nodes int) map[string]any {
	source := map[string]any{"platform": []string{platformURL}, "expected_fleet": nodes}
	distribution := map[string]any{}
	switch b {
	case BaselineSource:
		source["every_node_reads"] = true
		distribution["spread"] = "source"
	case BaselineFullRelease:
		distribution["whole_releases"] = true
	}
	return map[string]any{"source": source, "distribution": distribution}
}
