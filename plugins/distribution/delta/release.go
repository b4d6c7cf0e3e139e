package delta

import (
	"bytes"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/bronzemast/bronzemast/internal/zdelta"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// digestSuffixBytes is the number of trailing bytes of the record's digest in a
// payload.
const digestSuffixBytes = 8

// payload is the encoded form of a release. It omits what the receiver can
// compute: the digests of the parts and of the release follow from the contents,
// and the record has only one valid encoding.
type payload struct {
	Number uint64 `cbor:"1,keyasint"`
	// Previous and PreviousDigest are omitted if they refer to the base.
	Previous       uint64 `cbor:"2,keyasint,omitempty"`
	PreviousDigest []byte `cbor:"3,keyasint,omitempty"`
	// Fleet is omitted if it equals that of the base.
	Fleet string `cbor:"4,keyasint,omitempty"`
	// Removed and Changed are indexes into the parts of the base.
	Removed []int `cbor:"5,keyasint,omitempty"`
	Changed []int `cbor:"6,keyasint,omitempty"`
	// Added is the compressed list of the kinds and names of new parts.
	Added []byte `cbor:"7,keyasint,omitempty"`
	// Sizes contains the sizes in bytes of the changed parts, then of the added
	// ones.
	Sizes []int `cbor:"8,keyasint,omitempty"`
	// Contents is the concatenation of the changed and the added parts, compressed
	// with the base contents of the changed parts as the dictionary.
	Contents []byte `cbor:"9,keyasint,omitempty"`
	// DigestSuffix contains the last bytes of the digest of the record.
	DigestSuffix []byte `cbor:"10,keyasint"`
}

type partName struct {
	Kind config.PartKind `cbor:"1,keyasint"`
	Name string          `cbor:"2,keyasint"`
}

var payloadDecoding = newPayloadDecoding()

func newPayloadDecoding() cbor.DecMode {
	return strictcbor.NewDecMode(cbor.DecOptions{
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: config.MaxParts,
		MaxNestedLevels:  4,
	})
}

// EncodeRelease encodes target as a compressed delta from base, or in full if
// base is nil. The result is deterministic: all nodes encode the same delta.
func EncodeRelease(base, target *config.Release) ([]byte, error) {
	p := payload{Number: target.Record.Number, DigestSuffix: digestSuffix(target.Raw)}
	d := compareParts(base, target)
	p.Removed, p.Changed, p.Sizes = d.removed, d.changed, d.sizes
	if target.Record.Previous != numberOf(base) || target.Record.PreviousDigest != recordDigest(base) {
		p.Previous = target.Record.Previous
		p.PreviousDigest = target.Record.PreviousDigest[:]
	}
	if base == nil || base.Record.Fleet != target.Record.Fleet {
		p.Fleet = target.Record.Fleet
	}
	var err error
	if p.Added, err = encodeNames(d.added); err != nil {
		return nil, err
	}
	if p.Contents, err = zdelta.Compress(d.contents, dictionaryOf(base, d.changed)); err != nil {
		return nil, err
	}
	data, err := encoding.Marshal(p)
	return data, errors.Wrap(err, "encode release")
}

// partsDelta lists the parts that differ between a release and its base. The
// fields correspond to those of payload.
type partsDelta struct {
	removed, changed, sizes []int
	added                   []partName
	contents                []byte
}

func compareParts(base, target *config.Release) partsDelta {
	var d partsDelta
	unmatched := make(map[partName]config.PartRef, len(target.Record.Parts))
	for _, ref := range target.Record.Parts {
		unmatched[partName{ref.Kind, ref.Name}] = ref
	}
	for i, ref := range partsOf(base) {
		name := partName{ref.Kind, ref.Name}
		targetRef, kept := unmatched[name]
		delete(unmatched, name)
		if !kept {
			d.removed = append(d.removed, i)
		} else if targetRef.Digest != ref.Digest {
			d.changed = append(d.changed, i)
			d.addContents(target.Parts[targetRef.Digest])
		}
	}
	for _, ref := range target.Record.Parts {
		name := partName{ref.Kind, ref.Name}
		if _, isNew := unmatched[name]; isNew {
			d.added = append(d.added, name)
			d.addContents(target.Parts[ref.Digest])
		}
	}
	return d
}

func (d *partsDelta) addContents(part []byte) {
	d.sizes = append(d.sizes, len(part))
	d.contents = append(d.contents, part...)
}

func encodeNames(names []partName) ([]byte, error) {
	if len(names) == 0 {
		return nil, nil
	}
	data, err := encoding.Marshal(names)
	if err != nil {
		return nil, errors.Wrap(err, "encode part names")
	}
	return zdelta.Compress(data, nil)
}

// DecodeRelease decodes the result of EncodeRelease, given the same base. It
// verifies all digests: corrupt data or another base result in an error, never in
// another release.
func DecodeRelease(base *config.Release, data []byte) (*config.Release, error) {
	var p payload
	if err := payloadDecoding.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode release")
	}
	contents, err := p.split(base)
	if err != nil {
		return nil, err
	}
	b := builder{record: p.record(base), parts: map[config.Digest][]byte{}}
	b.addBaseParts(base, &p, contents[:len(p.Changed)])
	if err := b.addNewParts(p.Added, contents[len(p.Changed):]); err != nil {
		return nil, err
	}
	return b.build(p.DigestSuffix)
}

// record returns the release record without the list of parts.
func (p *payload) record(base *config.Release) config.Record {
	record := config.Record{Format: config.FormatVersion, Fleet: p.Fleet, Number: p.Number, Previous: p.Previous}
	copy(record.PreviousDigest[:], p.PreviousDigest)
	if base == nil {
		return record
	}
	if p.Fleet == "" {
		record.Fleet = base.Record.Fleet
	}
	if p.PreviousDigest == nil {
		record.Previous = base.Record.Number
		record.PreviousDigest = recordDigest(base)
	}
	return record
}

// split decompresses the contents and splits them into parts.
func (p *payload) split(base *config.Release) ([][]byte, error) {
	if len(p.Sizes) < len(p.Changed) {
		return nil, errors.New("release: size of a changed part is missing")
	}
	total := 0
	for _, size := range p.Sizes {
		if size < 0 || size > config.MaxPartBytes {
			return nil, errors.Errorf("release: part size of %d bytes is out of range", size)
		}
		if total += size; total > config.MaxReleaseBytes {
			return nil, errors.Errorf("release: parts exceed the limit of %d bytes", config.MaxReleaseBytes)
		}
	}
	for _, i := range p.Changed {
		if i < 0 || i >= len(partsOf(base)) {
			return nil, errors.Errorf("release: base has no part with index %d", i)
		}
	}
	contents, err := zdelta.Decompress(p.Contents, dictionaryOf(base, p.Changed), total)
	if err != nil {
		return nil, errors.Wrap(err, "part contents")
	}
	if len(contents) != total {
		return nil, errors.Errorf("part contents: expanded to %d bytes, want %d", len(contents), total)
	}
	parts := make([][]byte, len(p.Sizes))
	for i, size := range p.Sizes {
		parts[i] = contents[:size:size]
		contents = contents[size:]
	}
	return parts, nil
}

// builder assembles a release from its parts.
type builder struct {
	record config.Record
	parts  map[config.Digest][]byte
}

// addBaseParts adds the parts of the base that are not removed, with their new
// contents if they are changed.
func (b *builder) addBaseParts(base *config.Release, p *payload, changed [][]byte) {
	removed := make(map[int]bool, len(p.Removed))
	for _, i := range p.Removed {
		removed[i] = true
	}
	replaced := make(map[int][]byte, len(changed))
	for k, i := range p.Changed {
		replaced[i] = changed[k]
	}
	for i, ref := range partsOf(base) {
		if removed[i] {
			continue
		}
		if data, isChanged := replaced[i]; isChanged {
			b.addPart(partName{ref.Kind, ref.Name}, data)
			continue
		}
		b.record.Parts = append(b.record.Parts, ref)
		b.parts[ref.Digest] = base.Parts[ref.Digest]
	}
}

// addNewParts adds the parts whose encoded names are given.
func (b *builder) addNewParts(encodedNames []byte, contents [][]byte) error {
	var names []partName
	if len(encodedNames) > 0 {
		list, err := zdelta.Decompress(encodedNames, nil, config.MaxRecordBytes)
		if err != nil {
			return errors.Wrap(err, "part names")
		}
		if err := payloadDecoding.Unmarshal(list, &names); err != nil {
			return errors.Wrap(err, "part names")
		}
	}
	if len(names) != len(contents) {
		return errors.Errorf("release: %d names for %d new parts", len(names), len(contents))
	}
	for i, name := range names {
		b.addPart(name, contents[i])
	}
	return nil
}

func (b *builder) addPart(name partName, data []byte) {
	digest := config.DigestOf(data)
	b.parts[digest] = data
	b.record.Parts = append(b.record.Parts, config.PartRef{
		Kind: name.Kind, Name: name.Name, Digest: digest, Size: len(data),
	})
}

// build encodes the record, checks it against the digest suffix of the payload,
// and returns the release.
func (b *builder) build(suffix []byte) (*config.Release, error) {
	config.SortParts(b.record.Parts)
	b.record.ContentDigest = config.DigestParts(b.record.Parts)
	raw, err := b.record.Encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(digestSuffix(raw), suffix) {
		return nil, errors.Errorf("release %d: digest of the record does not match the payload", b.record.Number)
	}
	return config.Assemble(raw, b.parts)
}

// dictionaryOf returns the base contents of the changed parts, concatenated.
func dictionaryOf(base *config.Release, changed []int) []byte {
	var dictionary []byte
	for _, i := range changed {
		dictionary = append(dictionary, base.Parts[base.Record.Parts[i].Digest]...)
	}
	return dictionary
}

func partsOf(r *config.Release) []config.PartRef {
	if r == nil {
		return nil
	}
	return r.Record.Parts
}

func numberOf(r *config.Release) uint64 {
	if r == nil {
		return 0
	}
	return r.Record.Number
}

func recordDigest(r *config.Release) config.Digest {
	if r == nil {
		return config.Digest{}
	}
	return config.DigestOf(r.Raw)
}

func digestSuffix(raw []byte) []byte {
	digest := config.DigestOf(raw)
	return digest[len(digest)-digestSuffixBytes:]
}
