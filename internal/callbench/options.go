// Package callbench benchmarks calls with real node processes and stand-in targets,
// and compares the outcomes reported to callers with the executions at targets.
package callbench

import (
	"time"

	"github.com/pkg/errors"
)

// Scenarios.
const (
	Steady         = "steady"
	Overload       = "overload"
	Drain          = "drain"
	RollingRestart = "rolling-restart"
	Kill           = "kill"
	Pause          = "pause"
	Silence        = "silence"
	LateAnswer     = "late-answer"
	ColdStart      = "cold-start"
	LyingHealth    = "lying-health"
	Deep           = "deep"
	Skew           = "skew"
)

// Baselines.
const (
	BaselineRandom     = "random"
	BaselineFirstCome  = "fcfs"
	BaselineUnbudgeted = "unbudgeted"
)

// MinDuration is the shortest duration in which every scenario completes.
const MinDuration = 4 * time.Second

// Options configure a run.
type Options struct {
	Scenario string
	// Baseline selects a policy of the nodes to replace; empty means none.
	Baseline string
	Duration time.Duration
	// Rate is the number of calls per second to each entry node. Some scenarios
	// override it.
	Rate float64
	Seed uint64
	// Binary is the path of the node program; if empty, it is built.
	Binary string
}

// Validate returns an error if the scenario or baseline is unknown or the duration
// or rate is too low.
func (o *Options) Validate() error {
	if _, ok := scenarios[o.Scenario]; !ok {
		return errors.Errorf("unknown scenario %q", o.Scenario)
	}
	if _, ok := baselines[o.Baseline]; !ok {
		return errors.Errorf("unknown baseline %q", o.Baseline)
	}
	if o.Duration < MinDuration || o.Rate <= 0 {
		return errors.Errorf("duration must be at least %s and rate above 0", MinDuration)
	}
	return nil
}

// baselines holds the plug-in settings of each baseline.
var baselines = map[string]map[string]any{
	"":                 {},
	BaselineRandom:     {"balancing": map[string]any{"policy": "random"}},
	BaselineFirstCome:  {"admission": map[string]any{"policy": "first-come"}},
	BaselineUnbudgeted: {"forwarding": map[string]any{"unlimited_retries": true}},
}
