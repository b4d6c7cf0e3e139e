package replica

import (
	"time"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
)

const (
	// defaultStoreWait and defaultStorePause together bound the age of a reader's copy, and
	// so that of its followers.
	defaultStoreWait = 450 * time.Millisecond
	// defaultStorePause batches changes. The entries of a large fleet change all the time, so
	// a reader's rate of calls is one for each pause, whatever the number of hosts.
	defaultStorePause = 250 * time.Millisecond
	// defaultPeerWait is above the time between two confirmations of a reader's copy.
	defaultPeerWait = 900 * time.Millisecond
	// defaultPeerPause bounds the rate of requests that a reader gets from each follower
	// while changes come in quick succession.
	defaultPeerPause = 400 * time.Millisecond
	// defaultStaleAfter is slightly above the age that a follower's copy reaches while its
	// reader's watch and its own watch both wait for their full time.
	defaultStaleAfter   = 1500 * time.Millisecond
	defaultMaxStaleness = 2 * time.Second
	// defaultReturnGrace is the time within which live targets renew their entries after an
	// outage of the store.
	defaultReturnGrace = 2500 * time.Millisecond
	// defaultRestoreGrace is the time in which entries of targets that are gone lapse, and
	// all others are written again.
	defaultRestoreGrace = 6 * time.Second
	// defaultStoreReadsPerSecond is the store's rate limit for the whole fleet.
	defaultStoreReadsPerSecond = 2000
)

// Settings are the settings of the plug-in.
type Settings struct {
	// StoreWait is how long a watch of the store waits for a change.
	StoreWait jsonc.Duration `json:"store_wait"`
	// StorePause is the time between two watches of the store.
	StorePause jsonc.Duration `json:"store_pause"`
	// PeerWait is how long a watch of another node's copy waits for a change.
	PeerWait jsonc.Duration `json:"peer_wait"`
	// PeerPause is the time between two watches of another node's copy.
	PeerPause jsonc.Duration `json:"peer_pause"`
	// StaleAfter is the age of the copy from which a node reads the store itself and asks
	// other nodes for changes. It counts as at most three quarters of MaxStaleness.
	StaleAfter jsonc.Duration `json:"stale_after"`
	// MaxStaleness is the age of the copy from which a node rejects requests, unless the
	// store is in an outage.
	MaxStaleness jsonc.Duration `json:"max_staleness"`
	// ReturnGrace is how long entries that lapsed during an outage of the store still
	// count after its end.
	ReturnGrace jsonc.Duration `json:"return_grace"`
	// RestoreGrace is how long an entry that had been replaced or removed does not count
	// when the store was restored from an older copy and shows it again.
	RestoreGrace jsonc.Duration `json:"restore_grace"`
	// StoreReadsPerSecond is the store's rate limit for the whole fleet.
	StoreReadsPerSecond float64 `json:"store_reads_per_second"`
	// LinkMbps is the rate of the host's link in Mbit/s, 0 if it is not known. The hosts
	// with the fastest links become readers.
	LinkMbps float64 `json:"link_mbps"`
	// FailureDomains holds the region of each failure domain of the platform. It may be
	// empty if no route is bound to regions.
	FailureDomains map[string]string `json:"failure_domains"`
}

func defaultSettings() Settings {
	return Settings{
		StoreWait:           jsonc.Duration(defaultStoreWait),
		StorePause:          jsonc.Duration(defaultStorePause),
		PeerWait:            jsonc.Duration(defaultPeerWait),
		PeerPause:           jsonc.Duration(defaultPeerPause),
		StaleAfter:          jsonc.Duration(defaultStaleAfter),
		MaxStaleness:        jsonc.Duration(defaultMaxStaleness),
		ReturnGrace:         jsonc.Duration(defaultReturnGrace),
		RestoreGrace:        jsonc.Duration(defaultRestoreGrace),
		StoreReadsPerSecond: defaultStoreReadsPerSecond,
	}
}

// refreshAge is the age of the copy from which a node reads the store itself and asks other
// nodes for changes. It leaves time to do so before requests are rejected.
func (s *Settings) refreshAge() time.Duration {
	return min(s.StaleAfter.Std(), s.MaxStaleness.Std()*3/4)
}

// knowsDomain reports whether a failure domain is one of the platform's, as far as the settings
// name these.
func (s *Settings) knowsDomain(name string) bool {
	_, known := s.FailureDomains[name]
	return known || len(s.FailureDomains) == 0
}

// check checks the durations and the rates.
func (s *Settings) check(doc *jsonc.Document, findings *finding.List) {
	doc.RequirePositive(findings,
		jsonc.Positive{Field: "store_wait", Value: float64(s.StoreWait)},
		jsonc.Positive{Field: "store_pause", Value: float64(s.StorePause)},
		jsonc.Positive{Field: "peer_wait", Value: float64(s.PeerWait)},
		jsonc.Positive{Field: "peer_pause", Value: float64(s.PeerPause)},
		jsonc.Positive{Field: "stale_after", Value: float64(s.StaleAfter)},
		jsonc.Positive{Field: "max_staleness", Value: float64(s.MaxStaleness)},
		jsonc.Positive{Field: "return_grace", Value: float64(s.ReturnGrace)},
		jsonc.Positive{Field: "restore_grace", Value: float64(s.RestoreGrace)},
		jsonc.Positive{Field: "store_reads_per_second", Value: s.StoreReadsPerSecond},
	)
	doc.RequireNonNegative(findings, jsonc.NonNegative{Field: "link_mbps", Value: s.LinkMbps})
}
