package config

import (
	"bytes"
	"regexp"
	"sort"

	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// FormatVersion is the version of the release format that this program writes and
// accepts.
const FormatVersion = 1

// The limits of a release.
const (
	// MaxPartBytes is the largest size of a part, the platform's limit for a value.
	MaxPartBytes = 1 << 20
	// MaxRecordBytes is the largest size of an encoded release record.
	MaxRecordBytes = 1 << 20
	// MaxParts is the largest number of parts of a release.
	MaxParts = 8192
	// MaxReleaseBytes is the largest total size of all parts.
	MaxReleaseBytes = 8 << 20
)

// PartKind is the kind of a part's contents.
type PartKind uint8

// The kinds of parts.
const (
	PartTemplate PartKind = iota + 1
	PartTeam
)

// PartRef refers to a part of a release.
type PartRef struct {
	Kind PartKind `cbor:"1,keyasint"`
	// Name is the path of the part in the source directory, used in findings.
	Name   string `cbor:"2,keyasint"`
	Digest Digest `cbor:"3,keyasint"`
	// Size is the length of the part in bytes.
	Size int `cbor:"4,keyasint"`
}

// Record lists the parts of a release. It is published after its parts.
type Record struct {
	Format int    `cbor:"1,keyasint"`
	Fleet  string `cbor:"2,keyasint"`
	// Number increases with every release.
	Number uint64 `cbor:"3,keyasint"`
	// Previous is the number of the previous release, 0 for the first one, and
	// PreviousDigest the digest of that release's record.
	Previous       uint64 `cbor:"4,keyasint"`
	PreviousDigest Digest `cbor:"5,keyasint"`
	// ContentDigest is the digest of the list of parts, as computed by DigestParts.
	ContentDigest Digest `cbor:"6,keyasint"`
	// Parts are sorted by kind and name.
	Parts []PartRef `cbor:"7,keyasint"`
}

// Release is a record with all of its parts.
type Release struct {
	Record Record
	// Raw is the encoded record.
	Raw []byte
	// Parts maps digests to the contents of parts.
	Parts map[Digest][]byte
}

var (
	recordEncoding = mustEncMode()
	recordDecoding = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	return strictcbor.NewDecMode(cbor.DecOptions{
		MaxArrayElements: MaxParts,
		MaxNestedLevels:  8,
	})
}

// Encode returns the canonical encoding of the record.
func (r *Record) Encode() ([]byte, error) {
	data, err := recordEncoding.Marshal(r)
	return data, errors.Wrap(err, "encode release record")
}

// partNamePattern matches valid part names.
var partNamePattern = regexp.MustCompile(`^[A-Za-z0-9._/-]{1,200}$`)

// DecodeRecord decodes a record and checks it. It does not check the parts'
// contents.
func DecodeRecord(data []byte) (*Record, error) {
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("release record: %d bytes, more than the limit of %d", len(data), MaxRecordBytes)
	}
	var record Record
	if err := recordDecoding.Unmarshal(data, &record); err != nil {
		return nil, errors.Wrap(err, "release record")
	}
	if err := record.check(); err != nil {
		return nil, err
	}
	canonical, err := record.Encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(canonical, data) {
		return nil, errors.New("release record: the encoding is not canonical")
	}
	return &record, nil
}

func (r *Record) check() error {
	if r.Format != FormatVersion {
		return errors.Errorf("release record: format %d is not supported; this program supports format %d", r.Format, FormatVersion)
	}
	if r.Number == 0 || r.Previous >= r.Number {
		return errors.Errorf("release record: number %d does not follow %d", r.Number, r.Previous)
	}
	total := 0
	for i, part := range r.Parts {
		if !partNamePattern.MatchString(part.Name) {
			return errors.Errorf("release record: part %d: %s is not a valid part name", i, quote(part.Name))
		}
		if part.Size < 0 || part.Size > MaxPartBytes {
			return errors.Errorf("release record: part %s: %d bytes, more than the limit of %d", part.Name, part.Size, MaxPartBytes)
		}
		if i > 0 && !r.Parts[i-1].less(part) {
			return errors.Errorf("release record: part %s is out of order", part.Name)
		}
		total += part.Size
	}
	if total > MaxReleaseBytes {
		return errors.Errorf("release record: %d bytes in all parts, more than the limit of %d", total, MaxReleaseBytes)
	}
	if digest := DigestParts(r.Parts); digest != r.ContentDigest {
		return errors.Errorf("release record: digest of all parts is %s, not %s", digest.Short(), r.ContentDigest.Short())
	}
	return nil
}

func (p PartRef) less(other PartRef) bool {
	if p.Kind != other.Kind {
		return p.Kind < other.Kind
	}
	return p.Name < other.Name
}

// SortParts sorts parts in the order of a record: by kind, then by name.
func SortParts(parts []PartRef) {
	sort.Slice(parts, func(i, j int) bool { return parts[i].less(parts[j]) })
}

// DigestParts returns the digest of a release's contents, which is the digest of
// the encoded list of its parts.
func DigestParts(parts []PartRef) Digest {
	data, err := recordEncoding.Marshal(parts)
	if err != nil {
		panic(err) // every value of the type can be encoded
	}
	return DigestOf(data)
}

// Assemble returns the release of an encoded record. It returns an error if one of
// the record's parts is missing from parts or does not have the recorded size and
// digest.
func Assemble(raw []byte, parts map[Digest][]byte) (*Release, error) {
	record, err := DecodeRecord(raw)
	if err != nil {
		return nil, err
	}
	contents := make(map[Digest][]byte, len(record.Parts))
	for _, ref := range record.Parts {
		data, ok := parts[ref.Digest]
		if !ok {
			return nil, errors.Errorf("release %d: part %s (%s) is missing", record.Number, ref.Name, ref.Digest.Short())
		}
		if len(data) != ref.Size || DigestOf(data) != ref.Digest {
			return nil, errors.Errorf("release %d: part %s (%s) is corrupt", record.Number, ref.Name, ref.Digest.Short())
		}
		contents[ref.Digest] = data
	}
	return &Release{Record: *record, Raw: raw, Parts: contents}, nil
}
