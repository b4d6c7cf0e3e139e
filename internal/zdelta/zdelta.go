// Package zdelta compresses data as a difference from other data that the receiver
// has, or whole when there is none.
package zdelta

import (
	"bytes"
	"math/bits"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// minWindowBytes and maxWindowBytes bound the window of the compression.
	minWindowBytes = 1 << 10
	maxWindowBytes = 64 << 20
	// minDictionaryBytes is the shortest dictionary that the library uses.
	minDictionaryBytes = 8
	dictionaryID       = 1
)

// frameMagic starts each frame of the library and is not sent.
var frameMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Compress returns data compressed with a raw dictionary, which may be empty.
// The result depends on its arguments alone.
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
	defer func() { _ = encoder.Close() }() // EncodeAll leaves nothing to flush
	return bytes.TrimPrefix(encoder.EncodeAll(data, nil), frameMagic), nil
}

// Expand undoes Compress. It fails if the result is longer than limit.
func Expand(data, dictionary []byte, limit int) ([]byte, error) {
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
		return nil, errors.Wrap(err, "expand")
	}
	defer decoder.Close()
	expanded, err := decoder.DecodeAll(slices.Concat(frameMagic, data), nil)
	if err != nil {
		return nil, errors.Wrap(err, "expand")
	}
	if len(expanded) > limit {
		return nil, errors.Errorf("expand: %d bytes, more than the limit of %d", len(expanded), limit)
	}
	return expanded, nil
}

func windowBytes(n int) int {
	window := 1 << bits.Len(uint(max(n, 1)))
	return min(max(window, minWindowBytes), maxWindowBytes)
}
