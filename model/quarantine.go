package model

import (
	"net/netip"

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
	// SetPeers sets a function that returns the peer addresses of the other nodes; it is nil
	// until they are known. It must be called before the node starts.
	SetPeers(peers func() []netip.AddrPort)
	// Synchronized returns nil once the node has asked another one for the evidence, or has
	// found none to ask.
	Synchronized() error
}
