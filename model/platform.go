package model

import (
	"strconv"

	"github.com/pkg/errors"
)

// MaxValueBytes is the maximum size of a value in the platform's configuration service.
const MaxValueBytes = 1 << 20

// The keys of the platform's configuration service.
const (
	// KeyHead holds the newest release record.
	KeyHead = "release/head"
	// KeyHosts holds the host list as JSON.
	KeyHosts = "hosts"

	keyRecordPrefix = "release/records/"
	keyPartPrefix   = "release/parts/"
	keyPackPrefix   = "release/packs/"
)

// KeyRecord returns the key of the release record with the given number.
func KeyRecord(number uint64) string {
	return keyRecordPrefix + strconv.FormatUint(number, 10)
}

// KeyPart returns the key of the part with the given hexadecimal digest.
func KeyPart(digest string) string {
	return keyPartPrefix + digest
}

// KeyPack returns the key of the pack with the given zero-based index. Packs are
// replaced with each release.
func KeyPack(index int) string {
	return keyPackPrefix + strconv.Itoa(index)
}

// ErrNotFound is returned by a Platform that holds no value for a key.
var ErrNotFound = errors.New("key not found on the platform")
