package config

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// MaxPackBytes is the largest size of an encoded pack, the platform's limit for
	// a value.
	MaxPackBytes = 1 << 20
	// maxPackContents bounds the size of the parts in one pack before compression,
	// in bytes, so that incompressible parts fit into MaxPackBytes as well.
	maxPackContents = MaxPackBytes - 64<<10
	// maxPackMemory bounds the memory for decompressing one pack, in bytes.
	maxPackMemory = 4 << 20
	// MaxPacks is the largest number of packs of a release. Two successive packs
	// together hold more than maxPackContents, which yields the factor of 2.
	MaxPacks = 2 * MaxReleaseBytes / maxPackContents
)

// Pack combines many parts in one value of the platform, so that a node without
// any parts needs few reads. A reader need not trust its contents, since it
// identifies each part by its digest. A pack of another release lacks some parts and contains
// others that are not needed.
type Pack struct {
	Format int `cbor:"1,keyasint"`
	// Count is the number of packs that were written together.
	Count int      `cbor:"2,keyasint"`
	Parts [][]byte `cbor:"3,keyasint"`
}

// EncodePacks returns the encoded packs of a release. Parts too large for a pack are
// omitted.
func EncodePacks(r *Release) ([][]byte, error) {
	groups := groupParts(r)
	packs := make([][]byte, 0, len(groups))
	for _, parts := range groups {
		data, err := encodePack(&Pack{Format: FormatVersion, Count: len(groups), Parts: parts})
		if err != nil {
			return nil, err
		}
		packs = append(packs, data)
	}
	return packs, nil
}

// groupParts divides the parts of a release, in the order of the record, into
// groups that fit into a pack.
func groupParts(r *Release) [][][]byte {
	var groups [][][]byte
	remaining := 0
	for _, ref := range r.Record.Parts {
		if ref.Size > maxPackContents {
			continue
		}
		if ref.Size > remaining || len(groups) == 0 {
			groups = append(groups, nil)
			remaining = maxPackContents
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], r.Parts[ref.Digest])
		remaining -= ref.Size
	}
	return groups
}

func encodePack(p *Pack) ([]byte, error) {
	plain, err := recordEncoding.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode pack")
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, errors.Wrap(err, "compress pack")
	}
	defer encoder.Close()
	return encoder.EncodeAll(plain, nil), nil
}

// DecodePack decodes a pack and checks its format and count.
func DecodePack(data []byte) (*Pack, error) {
	if len(data) > MaxPackBytes {
		return nil, errors.Errorf("pack: %d bytes, more than the limit of %d", len(data), MaxPackBytes)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPackMemory))
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	var pack Pack
	if err := recordDecoding.Unmarshal(plain, &pack); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if pack.Format != FormatVersion || pack.Count < 1 || pack.Count > MaxPacks {
		return nil, errors.Errorf("pack: format %d is not supported or count %d is out of range", pack.Format, pack.Count)
	}
	return &pack, nil
}

// Extract adds to parts the pack's parts that the missing references name, and
// returns the references that are still missing.
func (p *Pack) Extract(missing []PartRef, parts map[Digest][]byte) []PartRef {
	contents := make(map[Digest][]byte, len(p.Parts))
	for _, data := range p.Parts {
		contents[DigestOf(data)] = data
	}
	var unresolved []PartRef
	for _, ref := range missing {
		if data, ok := contents[ref.Digest]; ok && len(data) == ref.Size {
			parts[ref.Digest] = data
			continue
		}
		unresolved = append(unresolved, ref)
	}
	return unresolved
}
