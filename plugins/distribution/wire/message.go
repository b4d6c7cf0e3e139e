// Package wire defines the messages that nodes exchange over their links and
// their encoding: one byte for the kind, then a CBOR map with integer keys.
package wire

import (
	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/model"
)

// ProtocolVersion is the protocol version that this node implements. Links to
// nodes with another version are closed.
const ProtocolVersion = 1

// Kind identifies the type of a message on the wire.
type Kind uint8

// The kinds of messages.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindPush
	KindAnnounce
	KindPull
	KindPrune
	KindGraft
	KindNotice
	KindRefusal
	KindGoodbye

	kindEnd
)

var kindNames = [...]string{
	"invalid", "hello", "heartbeat", "push", "announce", "pull", "prune",
	"graft", "notice", "refusal", "goodbye",
}

// String returns the lower-case name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return kindNames[0]
}

// Kinds returns all valid kinds in ascending order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindEnd-1)
	for k := KindHello; k < kindEnd; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Message is a message between two nodes.
type Message interface {
	Kind() Kind
}

// Document identifies one of the two documents that the fleet distributes.
type Document uint8

// The documents.
const (
	// DocumentRelease is the configuration.
	DocumentRelease Document = iota + 1
	// DocumentHosts is the host list.
	DocumentHosts
)

// String returns the lower-case name of the document.
func (d Document) String() string {
	switch d {
	case DocumentRelease:
		return "release"
	case DocumentHosts:
		return "hosts"
	}
	return "invalid"
}

// Version identifies a revision of a document by its number and the first four
// bytes of the digest of its encoded form, which distinguish two revisions with
// the same number.
type Version struct {
	Number       uint64 `cbor:"1,keyasint,omitempty"`
	DigestPrefix uint32 `cbor:"2,keyasint,omitempty"`
}

// VersionOf returns the version of a revision from its number and the digest of
// its encoded form.
func VersionOf(number uint64, digest config.Digest) Version {
	return Version{Number: number, DigestPrefix: DigestPrefixOf(digest)}
}

// DigestPrefixOf returns the first four bytes of a digest as a big-endian number.
func DigestPrefixOf(digest config.Digest) uint32 {
	return uint32(digest[0])<<24 | uint32(digest[1])<<16 | uint32(digest[2])<<8 | uint32(digest[3])
}

// Newer reports whether v is newer than other. Versions are totally ordered by
// number and then by digest prefix, so that all nodes prefer the same one of two
// revisions with the same number.
func (v Version) Newer(other Version) bool {
	if v.Number != other.Number {
		return v.Number > other.Number
	}
	return v.DigestPrefix > other.DigestPrefix
}

// Purpose is the reason for which a link was opened.
type Purpose uint8

// The purposes of a link.
const (
	// PurposeLink is a persistent link of the overlay.
	PurposeLink Purpose = iota
	// PurposeRepair is a short-lived link that brings the end with the older
	// versions up to date.
	PurposeRepair
)

// Hello is the first message that each end sends on a link.
type Hello struct {
	Protocol    int               `cbor:"1,keyasint"`
	Fleet       string            `cbor:"2,keyasint"`
	Host        model.HostID      `cbor:"3,keyasint"`
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	// Release and Hosts are the versions that the sender holds.
	Release Version `cbor:"5,keyasint"`
	Hosts   Version `cbor:"6,keyasint"`
	// Floor is the highest release number that the host named by Receiver has ever
	// reported to the sender.
	Floor uint64 `cbor:"7,keyasint,omitempty"`
	// Receiver is the host ID that Floor refers to.
	Receiver model.HostID `cbor:"8,keyasint,omitempty"`
	Purpose  Purpose      `cbor:"9,keyasint,omitempty"`
	// Unsettled is set until the sender has settled, which is when a starting node
	// begins to serve.
	Unsettled bool `cbor:"10,keyasint,omitempty"`
}

// Heartbeat shows that the sender is alive and reports the versions that it
// holds, the one of the host list by number only.
type Heartbeat struct {
	Release      uint64 `cbor:"1,keyasint,omitempty"`
	DigestPrefix uint32 `cbor:"2,keyasint,omitempty"`
	Hosts        uint64 `cbor:"3,keyasint,omitempty"`
	// Unsettled is set until the sender has settled, which is when a starting node
	// begins to serve.
	Unsettled bool `cbor:"4,keyasint,omitempty"`
}

// Announce reports a new version without waiting for the next heartbeat.
type Announce Heartbeat

// Push carries a document as a delta from Base, or the full document if Base is
// zero.
type Push struct {
	Document Document `cbor:"1,keyasint"`
	Base     Version  `cbor:"2,keyasint"`
	Target   Version  `cbor:"3,keyasint"`
	Payload  []byte   `cbor:"4,keyasint"`
}

// Pull requests the newest version of a document.
type Pull struct {
	Document Document `cbor:"1,keyasint"`
	// Have is the version that the sender holds.
	Have Version `cbor:"2,keyasint"`
	// Whole requests the full document, after a delta that could not be applied.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// Prune asks the receiver to announce new versions on this link instead of
// pushing them.
type Prune struct{}

// Graft asks the receiver to push new versions on this link again, and to push
// the document now if it holds a newer version than Have.
type Graft struct {
	Document Document `cbor:"1,keyasint"`
	Have     Version  `cbor:"2,keyasint"`
}

// Notice forwards a membership notice about a host.
type Notice struct {
	Notice model.Notice `cbor:"1,keyasint"`
}

// Refusal reports that a node rejected a release, and why, so that operators can
// see it on every node. The receiver still validates the release itself.
type Refusal struct {
	Release      uint64    `cbor:"1,keyasint"`
	DigestPrefix uint32    `cbor:"2,keyasint"`
	Findings     []Finding `cbor:"3,keyasint"`
}

// Finding is a finding.Finding in the encoding of a Refusal.
type Finding struct {
	Place    finding.Place    `cbor:"1,keyasint"`
	Severity finding.Severity `cbor:"2,keyasint"`
	Message  string           `cbor:"3,keyasint"`
}

// Goodbye closes a link.
type Goodbye struct {
	Reason GoodbyeReason `cbor:"1,keyasint"`
	// RetryMs is the time in milliseconds, from the receipt of the message, that
	// the receiver should wait before it dials again.
	RetryMs uint32 `cbor:"2,keyasint,omitempty"`
}

// GoodbyeReason is the reason for which a link is closed.
type GoodbyeReason uint8

// The reasons for closing a link.
const (
	GoodbyeStopping GoodbyeReason = iota
	GoodbyeFull
	GoodbyeDuplicate
	GoodbyeFleet
	GoodbyeProtocol
	GoodbyeUnneeded
	GoodbyeIdentity
)

var goodbyeNames = [...]string{
	"stopping", "full", "duplicate link", "other fleet", "other protocol",
	"unneeded", "other identity",
}

// String returns a short description of the reason for logs.
func (r GoodbyeReason) String() string {
	if int(r) < len(goodbyeNames) {
		return goodbyeNames[r]
	}
	return "unknown"
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (*Push) Kind() Kind { return KindPush }

// Kind implements Message.
func (*Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (*Pull) Kind() Kind { return KindPull }

// Kind implements Message.
func (*Prune) Kind() Kind { return KindPrune }

// Kind implements Message.
func (*Graft) Kind() Kind { return KindGraft }

// Kind implements Message.
func (*Notice) Kind() Kind { return KindNotice }

// Kind implements Message.
func (*Refusal) Kind() Kind { return KindRefusal }

// Kind implements Message.
func (*Goodbye) Kind() Kind { return KindGoodbye }

// Interface guards.
var (
	_ Message = (*Hello)(nil)
	_ Message = (*Heartbeat)(nil)
	_ Message = (*Push)(nil)
	_ Message = (*Announce)(nil)
	_ Message = (*Pull)(nil)
	_ Message = (*Prune)(nil)
	_ Message = (*Graft)(nil)
	_ Message = (*Notice)(nil)
	_ Message = (*Refusal)(nil)
	_ Message = (*Goodbye)(nil)
)
