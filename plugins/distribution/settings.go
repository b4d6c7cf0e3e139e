package distribution

import (
	"time"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/plugins/distribution/overlay"
)

// The values of Settings.Spread.
const (
	// SpreadPeers distributes documents from node to node.
	SpreadPeers = "peers"
	// SpreadSource makes each node read documents from the platform.
	SpreadSource = "source"
)

// LinkSettings configures the number of links that a node dials in each class
// of the overlay.
type LinkSettings struct {
	Ring   int `json:"ring"`
	Domain int `json:"domain"`
	Region int `json:"region"`
	World  int `json:"world"`
}

// Settings configures the plug-in.
type Settings struct {
	// Links is the number of links that the node dials in each class.
	Links LinkSettings `json:"links"`
	// MaxInbound is the maximum number of inbound links.
	MaxInbound int `json:"max_inbound"`
	// Heartbeat is the interval between heartbeats on each link.
	Heartbeat jsonc.Duration `json:"heartbeat"`
	// MissedHeartbeats is the number of consecutive heartbeats that may be missed;
	// the link is closed half an interval after the last of them was due.
	MissedHeartbeats int `json:"missed_heartbeats"`
	// AnnounceDelay is the mean delay before a new version is announced on a link
	// without eager push; the actual delay has 50 % jitter.
	AnnounceDelay jsonc.Duration `json:"announce_delay"`
	// GraftDelay is how long the node waits for a push after a heartbeat or
	// announcement of a new version before it requests the version.
	GraftDelay jsonc.Duration `json:"graft_delay"`
	// PullTimeout is how long the node waits for a requested document before it
	// asks another peer.
	PullTimeout jsonc.Duration `json:"pull_timeout"`
	// SettlePeers is the number of settled peers that a starting node must
	// exchange state with before it serves.
	SettlePeers int `json:"settle_peers"`
	// SettleTimeout bounds that wait, from the start of the node, if at least one
	// settled peer was reached.
	SettleTimeout jsonc.Duration `json:"settle_timeout"`
	// SettleAloneTimeout bounds the wait if no settled peer was reached.
	SettleAloneTimeout jsonc.Duration `json:"settle_alone_timeout"`
	// StarvedAfter is how long the node may have no link, or hold an older version
	// than its peers, before it reads the platform itself.
	StarvedAfter jsonc.Duration `json:"starved_after"`
	// RetryBase and RetryLimit are the base and the cap of the dial backoff.
	RetryBase  jsonc.Duration `json:"retry_base"`
	RetryLimit jsonc.Duration `json:"retry_limit"`
	// HandshakeRate (per second) and HandshakeBurst limit the rate of accepted
	// handshakes; HandshakesAtOnce limits those in progress.
	HandshakeRate    float64 `json:"handshake_rate"`
	HandshakeBurst   int     `json:"handshake_burst"`
	HandshakesAtOnce int     `json:"handshakes_at_once"`
	// HandshakeTimeout bounds a handshake on either side, including the dial.
	HandshakeTimeout jsonc.Duration `json:"handshake_timeout"`
	// QueueLength is the maximum number of queued outgoing messages of a link; the
	// oldest is dropped.
	QueueLength int `json:"queue_length"`
	// PauseThreshold is the gap between two inputs of the engine above which the
	// process is considered to have been paused.
	PauseThreshold jsonc.Duration `json:"pause_threshold"`
	// WholeReleases makes the node send whole documents in place of deltas.
	WholeReleases bool `json:"whole_releases"`
	// Spread is SpreadPeers or SpreadSource.
	Spread string `json:"spread"`
}

func defaultSettings() Settings {
	return Settings{
		Links:              LinkSettings{Ring: 1, Domain: 2, Region: 1, World: 1},
		MaxInbound:         32,
		Heartbeat:          jsonc.Duration(time.Second),
		MissedHeartbeats:   2,
		AnnounceDelay:      jsonc.Duration(50 * time.Millisecond),
		GraftDelay:         jsonc.Duration(100 * time.Millisecond),
		PullTimeout:        jsonc.Duration(time.Second),
		SettlePeers:        3,
		SettleTimeout:      jsonc.Duration(3 * time.Second),
		SettleAloneTimeout: jsonc.Duration(4 * time.Second),
		StarvedAfter:       jsonc.Duration(3 * time.Second),
		RetryBase:          jsonc.Duration(200 * time.Millisecond),
		RetryLimit:         jsonc.Duration(time.Second),
		HandshakeRate:      50,
		HandshakeBurst:     20,
		HandshakesAtOnce:   8,
		HandshakeTimeout:   jsonc.Duration(1500 * time.Millisecond),
		QueueLength:        64,
		PauseThreshold:     jsonc.Duration(2500 * time.Millisecond),
		Spread:             SpreadPeers,
	}
}

func (s *Settings) linkCounts() overlay.Counts {
	return overlay.Counts{
		Ring:   s.Links.Ring,
		Domain: s.Links.Domain,
		Region: s.Links.Region,
		World:  s.Links.World,
	}
}

func (s *Settings) settleRule() SettleRule {
	return SettleRule{
		Peers:        s.SettlePeers,
		Timeout:      s.SettleTimeout.Std(),
		AloneTimeout: s.SettleAloneTimeout.Std(),
	}
}

// heartbeatTimeout returns how long a link may receive no message before it is
// closed.
func (s *Settings) heartbeatTimeout() time.Duration {
	return s.Heartbeat.Std()*time.Duration(s.MissedHeartbeats) + s.Heartbeat.Std()/2
}

func (s *Settings) validate(doc *jsonc.Document, findings *finding.List) {
	doc.RequirePositive(findings,
		jsonc.Positive{Field: "max_inbound", Value: float64(s.MaxInbound)},
		jsonc.Positive{Field: "heartbeat", Value: float64(s.Heartbeat)},
		jsonc.Positive{Field: "missed_heartbeats", Value: float64(s.MissedHeartbeats)},
		jsonc.Positive{Field: "announce_delay", Value: float64(s.AnnounceDelay)},
		jsonc.Positive{Field: "graft_delay", Value: float64(s.GraftDelay)},
		jsonc.Positive{Field: "pull_timeout", Value: float64(s.PullTimeout)},
		jsonc.Positive{Field: "settle_timeout", Value: float64(s.SettleTimeout)},
		jsonc.Positive{Field: "settle_alone_timeout", Value: float64(s.SettleAloneTimeout)},
		jsonc.Positive{Field: "starved_after", Value: float64(s.StarvedAfter)},
		jsonc.Positive{Field: "retry_base", Value: float64(s.RetryBase)},
		jsonc.Positive{Field: "retry_limit", Value: float64(s.RetryLimit)},
		jsonc.Positive{Field: "handshake_rate", Value: s.HandshakeRate},
		jsonc.Positive{Field: "handshake_burst", Value: float64(s.HandshakeBurst)},
		jsonc.Positive{Field: "handshakes_at_once", Value: float64(s.HandshakesAtOnce)},
		jsonc.Positive{Field: "handshake_timeout", Value: float64(s.HandshakeTimeout)},
		jsonc.Positive{Field: "queue_length", Value: float64(s.QueueLength)},
		jsonc.Positive{Field: "pause_threshold", Value: float64(s.PauseThreshold)},
	)
	doc.RequireNonNegative(findings,
		jsonc.NonNegative{Field: "links.ring", Value: float64(s.Links.Ring)},
		jsonc.NonNegative{Field: "links.domain", Value: float64(s.Links.Domain)},
		jsonc.NonNegative{Field: "links.region", Value: float64(s.Links.Region)},
		jsonc.NonNegative{Field: "links.world", Value: float64(s.Links.World)},
		jsonc.NonNegative{Field: "settle_peers", Value: float64(s.SettlePeers)},
	)
	if s.linkCounts().Total() == 0 {
		findings.Errorf(doc.Place("links"), "at least one number of links must be greater than 0")
	}
	if s.Spread != SpreadPeers && s.Spread != SpreadSource {
		findings.Errorf(doc.Place("spread"), "%q is neither %q nor %q", s.Spread, SpreadPeers, SpreadSource)
	}
}
