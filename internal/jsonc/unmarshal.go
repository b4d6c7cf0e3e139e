package jsonc

import (
	"github.com/pkg/errors"
	"github.com/segmentio/encoding/json"
)

// Unmarshal decodes JSON without comments into dst, a pointer, as encoding/json does: unknown
// fields are ignored. Text that is nested deeper than MaxDepth fails before it is decoded, since
// the decoder recurses for each level and a stack that is exhausted ends the process.
func Unmarshal(data []byte, dst any) error {
	if exceedsDepth(data) {
		return errors.Errorf("nested deeper than the limit of %d levels", MaxDepth)
	}
	return json.Unmarshal(data, dst)
}

// exceedsDepth reports whether JSON without comments is nested deeper than MaxDepth.
func exceedsDepth(data []byte) bool {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i += stringLength(data[i:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return true
		}
	}
	return false
}
