// Package quarantine decides which requests are kept away from targets because targets have
// crashed while they ran them ("queries of death"). It identifies equal requests, adds up the
// crashes that the nodes of a fleet have seen, and returns a verdict for each request. It does
// no input or output, so that all decisions can be tested without a network.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/pkg/errors"
)

// fingerprintBytes is the length of a fingerprint. Nobody can find a request with the
// fingerprint of another one's in 128 bits of SHA-256.
const fingerprintBytes = 16

// Fingerprint identifies equal requests: those with the same method, authority, request target
// and body, on whichever host they are sent. Where callers are authenticated, the caller counts too.
type Fingerprint [fingerprintBytes]byte

// StreamedBodyBytes is the length of the part of a streamed body that counts for its
// fingerprint. The rest is not known before the request has run.
const StreamedBodyBytes = 16 << 10

// Request holds what identifies a request.
type Request struct {
	// Caller is the name of an authenticated caller, empty if callers are not authenticated.
	Caller    string
	Method    string
	Authority string
	// Target is the request target: path and query.
	Target string
	// Body is the complete body, or the beginning of one that is streamed.
	Body     []byte
	Streamed bool
}

// Fingerprint returns the fingerprint of the request.
func (r *Request) Fingerprint() Fingerprint {
	digest := sha256.New()
	writeField(digest, []byte(r.Caller))
	writeField(digest, []byte(r.Method))
	writeField(digest, []byte(strings.ToLower(r.Authority)))
	writeField(digest, []byte(r.Target))
	if r.Streamed {
		_, _ = digest.Write(r.Body[:min(len(r.Body), StreamedBodyBytes)])
	} else {
		writeField(digest, r.Body)
	}
	var sum [sha256.Size]byte
	return Fingerprint(digest.Sum(sum[:0])[:fingerprintBytes])
}

// writeField writes a field with its length in front, so that two different requests never
// have the same bytes. A hash never returns an error.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(field)
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Texts returns fingerprints as they are logged.
func Texts(fingerprints []Fingerprint) []string {
	texts := make([]string, len(fingerprints))
	for i, f := range fingerprints {
		texts[i] = f.String()
	}
	return texts
}

// ParseFingerprint parses a fingerprint in hexadecimal digits.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != fingerprintBytes {
		return f, errors.Errorf("%q is not a fingerprint", text)
	}
	copy(f[:], raw)
	return f, nil
}
