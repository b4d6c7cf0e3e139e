package model

import (
	"time"

	"github.com/bronzemast/bronzemast/internal/quarantine"
)

// Quarantine keeps requests from targets that crash while they run them. It adds up what the
// nodes of the fleet have seen. The plug-in "quarantine" provides it.
type Quarantine interface {
	// Empty reports whether there is no evidence against any request, so that a request need
	// not be identified.
	Empty() bool
	// Verdict returns the verdict on a request.
	Verdict(f quarantine.Fingerprint) quarantine.Verdict
	// RecordCrash records that the target beside the node has crashed while it ran the given
	// requests, and tells the other nodes.
	RecordCrash(suspects []quarantine.Fingerprint)
	// RecordRun records that a target has completed a request.
	RecordRun(f quarantine.Fingerprint)
	// Reports returns the evidence on a request, to be sent to another node.
	Reports(f quarantine.Fingerprint) []quarantine.Report
	// Learn adds the evidence that another node has sent.
	Learn(reports []quarantine.Report)
	// Held returns the requests that are refused at present.
	Held() []HeldRequest
	// SetPeers sets a function that returns the peer addresses of the other nodes; it is nil
	// until they are known. It must be called before the node starts.
	SetPeers(peers func() []string)
	// Synchronized returns nil once the node has asked another one for the evidence, or has
	// found none to ask.
	Synchronized() error
}

// HeldRequest is a request that is kept from targets.
type HeldRequest struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes is the number of known crashes of targets under the request.
	Crashes int `json:"crashes"`
	// Since is the time of the last crash, and Until the end of the refusal.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
}
