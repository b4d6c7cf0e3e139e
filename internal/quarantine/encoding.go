package quarantine

import (
	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxHeaderBytes bounds the length of encoded reports in a header, in bytes.
	maxHeaderBytes = 8 << 10
	// maxReports bounds the reports in a message.
	maxReports = 4096
)

// Decoding decodes messages with reports. Fields that this version does not know are ignored.
var Decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 6, MaxArrayElements: maxReports}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// EncodeHeader returns reports as the value of a header.
func EncodeHeader(reports []Report) string { return cborheader.Encode(reports) }

// DecodeHeader decodes reports from the value of a header; an empty one has none.
func DecodeHeader(text string) ([]Report, error) {
	if text == "" {
		return nil, nil
	}
	var reports []Report
	err := cborheader.Decode(text, Decoding, maxHeaderBytes, &reports)
	return reports, err
}
