// Package zdelta compresses data with Zstandard. Data that the receiver already has can
// serve as a dictionary, so that the result holds mainly the differences.
package zdelta

import (
	"bytes"
	"math/bits"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// minWindowBytes and maxWindowBytes bound the window size of the compression.
	minWindowBytes = 1 << 10
	maxWindowBytes = 64 << 20
	// minDictionaryBytes is the length of the shortest dictionary that the library
	// accepts.
	minDictionaryBytes = 8
	dictionaryID       = 1
)

// frameMagic is the magic number at the start of each Zstandard frame. Compress omits it.
var frameMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Compress compresses data with a raw dictionary, which may be empty. The result is
// deterministic: it depends only on the arguments.
func Compress(data, dictionary []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderCRC(false),
		zstd.WithSingleSegment(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowBytes(len(data) + len(dictionary))),
	}
	if len(dictionary) >= minDictionaryBytes {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	defer func() { _ = encoder.Close() }() // EncodeAll leaves no data to flush
	return bytes.TrimPrefix(encoder.EncodeAll(data, nil), frameMagic), nil
}

// Decompress reverses Compress, given the same dictionary. It returns an error if the
// decompressed data is longer than limit bytes.
func Decompress(data, dictionary []byte, limit int) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(max(limit, minWindowBytes))),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(dictionary) >= minDictionaryBytes {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	defer decoder.Close()
	decompressed, err := decoder.DecodeAll(slices.Concat(frameMagic, data), nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(decompressed) > limit {
		return nil, errors.Errorf("decompress: %d bytes, more than the limit of %d", len(decompressed), limit)
	}
	return decompressed, nil
}

// windowBytes returns the window size for n bytes of data and dictionary: the next higher
// power of two, within the bounds.
func windowBytes(n int) int {
	window := 1 << bits.Len(uint(max(n, 1)))
	return min(max(window, minWindowBytes), maxWindowBytes)
}
