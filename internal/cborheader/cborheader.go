// Package cborheader carries CBOR in the value of an HTTP header.
package cborheader

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Encode returns a header's value. It panics if the value cannot be encoded, which
// is a mistake of the program.
func Encode(value any) string {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// Decode reads a header's value of at most maxBytes.
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
