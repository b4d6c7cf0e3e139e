package distribution

import (
	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/plugins/distribution/delta"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	"github.com/pkg/errors"
)

// historyLength is the number of earlier revisions of a document that a node
// keeps as bases for deltas.
const historyLength = 8

// revision is one revision of a document: a release or a host list.
type revision struct {
	version wire.Version
	release *config.Release
	hosts   *delta.Hosts
}

func releaseRevision(r *config.Release) *revision {
	return &revision{version: wire.VersionOf(r.Record.Number, config.DigestOf(r.Raw)), release: r}
}

func hostsRevision(h *delta.Hosts) *revision {
	return &revision{version: wire.VersionOf(h.List.Revision, h.Digest), hosts: h}
}

// store holds the newest revision of a document, earlier revisions as bases for
// deltas, and the encoded pushes from those bases to the newest.
type store struct {
	document wire.Document
	// whole disables deltas.
	whole   bool
	held    *revision
	history []*revision
	// pushes caches encoded push messages to the newest revision by base.
	pushes map[wire.Version][]byte
}

func newStore(document wire.Document, whole bool) *store {
	return &store{document: document, whole: whole, pushes: map[wire.Version][]byte{}}
}

// Version returns the held version, zero for none.
func (s *store) Version() wire.Version {
	if s.held == nil {
		return wire.Version{}
	}
	return s.held.version
}

// Install makes r the newest revision.
func (s *store) Install(r *revision) {
	if s.held != nil {
		s.history = append(s.history, s.held)
	}
	if len(s.history) > historyLength {
		s.history = append([]*revision(nil), s.history[1:]...)
	}
	s.held = r
	s.pushes = map[wire.Version][]byte{}
}

// CachePush caches an encoded push to the newest revision as received from a
// peer.
func (s *store) CachePush(base wire.Version, push []byte) {
	s.pushes[base] = push
}

// Base returns the revision with the given version, nil if it is not held.
func (s *store) Base(version wire.Version) *revision {
	if s.held != nil && s.held.version == version {
		return s.held
	}
	for _, r := range s.history {
		if r.version == version {
			return r
		}
	}
	return nil
}

// CompleteVersion fills in the digest prefix of a version that was sent without
// it, if the node holds the revision.
func (s *store) CompleteVersion(version wire.Version) wire.Version {
	if s.held != nil && s.held.version.Number == version.Number {
		return s.held.version
	}
	for _, r := range s.history {
		if r.version.Number == version.Number {
			return r.version
		}
	}
	return version
}

// Push returns an encoded push from the given version to the newest revision.
// If that base is not held, the push carries the whole document.
func (s *store) Push(from wire.Version) ([]byte, error) {
	base := s.Base(from)
	if base == nil || s.whole || base == s.held {
		base = &revision{}
	}
	if push, cached := s.pushes[base.version]; cached {
		return push, nil
	}
	push, err := s.encode(base)
	if err != nil {
		return nil, err
	}
	s.pushes[base.version] = push
	return push, nil
}

// HasBase reports whether Push can encode a delta from the version. It is true
// as well if deltas are disabled, since then no base is needed.
func (s *store) HasBase(from wire.Version) bool {
	return s.whole || s.Base(from) != nil
}

func (s *store) encode(base *revision) ([]byte, error) {
	payload, err := s.payload(base)
	if err != nil {
		return nil, err
	}
	return wire.Encode(&wire.Push{
		Document: s.document,
		Base:     base.version,
		Target:   s.held.version,
		Payload:  payload,
	})
}

func (s *store) payload(base *revision) ([]byte, error) {
	if s.document == wire.DocumentRelease {
		return delta.EncodeRelease(base.release, s.held.release)
	}
	return delta.EncodeHosts(base.hosts, s.held.hosts)
}

// errNoBase is returned for a delta from a revision that is not held.
var errNoBase = errors.New("delta base is not held")

// Decode applies a push to its base and returns the resulting revision, after
// verifying its version.
func (s *store) Decode(push *wire.Push) (*revision, error) {
	base := &revision{}
	if push.Base != (wire.Version{}) {
		if base = s.Base(push.Base); base == nil {
			return nil, errNoBase
		}
	}
	r, err := s.decode(base, push.Payload)
	if err != nil {
		return nil, err
	}
	if r.version != push.Target {
		return nil, errors.Errorf("push results in version %v, want %v", r.version, push.Target)
	}
	return r, nil
}

func (s *store) decode(base *revision, payload []byte) (*revision, error) {
	if s.document == wire.DocumentRelease {
		release, err := delta.DecodeRelease(base.release, payload)
		if err != nil {
			return nil, err
		}
		return releaseRevision(release), nil
	}
	hosts, err := delta.DecodeHosts(base.hosts, payload)
	if err != nil {
		return nil, err
	}
	return hostsRevision(hosts), nil
}
