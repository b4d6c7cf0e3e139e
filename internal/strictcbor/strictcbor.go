// Package strictcbor decodes CBOR that this program has encoded. It rejects encodings
// that the program's encoder does not produce.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// NewDecMode returns a decoding mode that rejects duplicate keys, unknown fields and
// indefinite lengths. limits holds the other options. NewDecMode panics if they are
// invalid, which is a programming error.
func NewDecMode(limits cbor.DecOptions) cbor.DecMode {
	limits.DupMapKey = cbor.DupMapKeyEnforcedAPF
	limits.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
	limits.IndefLength = cbor.IndefLengthForbidden
	mode, err := limits.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
