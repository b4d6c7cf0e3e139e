// Package cborheader encodes and decodes HTTP header values that hold CBOR in unpadded
// base64url.
package cborheader

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Encode returns value as a header value. It panics if value cannot be encoded, which is
// a programming error.
func Encode(value any) string {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// Decode decodes the header value text into value. It returns an error if text is longer
// than maxBytes.
func Decode(text string, decoding cbor.DecMode, maxBytes int, value any) error {
	if len(text) > maxBytes {
		return errors.Errorf("%d bytes, more than the limit of %d", len(text), maxBytes)
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return errors.Wrap(err, "base64")
	}
	return decoding.Unmarshal(data, value)
}
