package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
)

const (
	defaultConnectTimeout = 300 * time.Millisecond
	defaultTargetIdle     = 3 * time.Second
	defaultTargetRenewal  = 1500 * time.Millisecond
	defaultRetryRatio     = 0.1
	defaultRetryReserve   = 20
	defaultRetryWindow    = 10 * time.Second
	// defaultRemoteCost sends a request out of the failure domain if that raises its
	// probability of meeting the objective by at least 0.25.
	defaultRemoteCost = 0.25
	// defaultLinger covers two readiness checks at an interval of 1 s, with some margin.
	defaultLinger = 2700 * time.Millisecond
	defaultGrace  = 25 * time.Second
	// defaultWarmupOverage keeps to the rate for cold targets.
	defaultWarmupOverage = 1
	// defaultLogLines keeps request logging below a tenth of a node's CPU time at 60
	// requests per second (BenchmarkLogs).
	defaultLogLines = 30
)

// Settings holds the settings of the plug-in.
type Settings struct {
	// ConnectTimeout bounds the time to connect to a peer or to the target.
	ConnectTimeout jsonc.Duration `json:"connect_timeout"`
	// TargetIdle is how long idle connections to the target are kept until the target has
	// announced its own idle timeout in a Keep-Alive header.
	TargetIdle jsonc.Duration `json:"target_idle"`
	// TargetRenewal is the interval at which targets renew their entries, and so about how
	// long a restarted target takes to be listed again.
	TargetRenewal jsonc.Duration `json:"target_renewal"`
	// RetryRatio and RetryReserve bound the retries of the whole fleet per service in each
	// RetryWindow: a share of the requests, plus a fixed number.
	RetryRatio   float64        `json:"retry_ratio"`
	RetryReserve float64        `json:"retry_reserve"`
	RetryWindow  jsonc.Duration `json:"retry_window"`
	// RemoteCost is the cost of a request that leaves the failure domain, relative to the
	// cost of one that misses its objective. With 0, placement ignores failure domains.
	RemoteCost float64 `json:"remote_cost"`
	// Linger is how long a draining node still accepts requests, so that callers learn
	// that it is leaving.
	Linger jsonc.Duration `json:"linger"`
	// Grace bounds the total time of draining, linger time included.
	Grace jsonc.Duration `json:"grace"`
	// WarmupOverage is the multiple of the rate for cold targets that they are sent: the
	// platform's bound on a cold target, without what it allows besides.
	WarmupOverage float64 `json:"warmup_overage"`
	// LinkMbps is the rate of the host's link in Mbit/s, 0 if it is not known. Large answers
	// share it. A change takes effect when the node restarts.
	LinkMbps float64 `json:"link_mbps"`
	// LogLines bounds the log lines about requests, per second. A change takes effect when
	// the node restarts.
	LogLines float64 `json:"log_lines"`
}

// liveSettings holds the active settings.
type liveSettings struct {
	atomic.Pointer[Settings]
}

func defaults() Settings {
	return Settings{
		ConnectTimeout: jsonc.Duration(defaultConnectTimeout),
		TargetIdle:     jsonc.Duration(defaultTargetIdle),
		TargetRenewal:  jsonc.Duration(defaultTargetRenewal),
		RetryRatio:     defaultRetryRatio,
		RetryReserve:   defaultRetryReserve,
		RetryWindow:    jsonc.Duration(defaultRetryWindow),
		RemoteCost:     defaultRemoteCost,
		Linger:         jsonc.Duration(defaultLinger),
		Grace:          jsonc.Duration(defaultGrace),
		LogLines:       defaultLogLines,
		WarmupOverage:  defaultWarmupOverage,
	}
}

func (s *Settings) check(doc *jsonc.Document, findings *finding.List) {
	doc.RequirePositive(findings,
		jsonc.Positive{Field: "connect_timeout", Value: float64(s.ConnectTimeout)},
		jsonc.Positive{Field: "target_idle", Value: float64(s.TargetIdle)},
		jsonc.Positive{Field: "target_renewal", Value: float64(s.TargetRenewal)},
		jsonc.Positive{Field: "retry_window", Value: float64(s.RetryWindow)},
		jsonc.Positive{Field: "linger", Value: float64(s.Linger)},
		jsonc.Positive{Field: "grace", Value: float64(s.Grace)},
		jsonc.Positive{Field: "log_lines", Value: s.LogLines},
		jsonc.Positive{Field: "warmup_overage", Value: s.WarmupOverage},
	)
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		findings.Errorf(doc.Place("retry_ratio"), "must be from 0 to 1")
	}
	doc.RequireNonNegative(findings,
		jsonc.NonNegative{Field: "retry_reserve", Value: s.RetryReserve},
		jsonc.NonNegative{Field: "remote_cost", Value: s.RemoteCost},
		jsonc.NonNegative{Field: "link_mbps", Value: s.LinkMbps},
	)
}

// warmup returns the warm-up with the rate that cold targets are sent.
func (s *Settings) warmup(w ingress.Warmup) ingress.Warmup {
	w.Rate *= s.WarmupOverage
	return w
}

// warmupOf returns the warm-up of a service's targets, none if the table has no such service.
func warmupOf(table *ingress.Table, name string) ingress.Warmup {
	if table == nil {
		return ingress.Warmup{}
	}
	service := table.Service(name)
	if service == nil {
		return ingress.Warmup{}
	}
	return service.Warmup
}
