package jsonc

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// The limits of a document. They are checked before parsing, because the parser
// recurses for each nesting level and allocates an object for each value.
const (
	// MaxDepth is the maximum nesting depth of a document, in levels.
	MaxDepth = 32
	// MaxValues is the maximum number of values in a document, including keys.
	MaxValues = 1 << 18
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 128
)

// limitScanner counts nesting levels and values without parsing. It may accept text that
// is not valid JSON; the parser rejects such text.
type limitScanner struct {
	data   []byte
	depth  int
	values int
}

// check returns the offset of the first byte that exceeds a limit, and an error message.
// The message is empty if the document is within the limits.
func (s *limitScanner) check() (offset int, message string) {
	if offset := invalidUTF8(s.data); offset >= 0 {
		return offset, "the text is not UTF-8"
	}
	for i := 0; i < len(s.data); i++ {
		switch s.data[i] {
		case '"':
			i += stringLength(s.data[i:]) - 1
		case '/':
			i += commentLength(s.data[i:]) - 1
		case '{', '[':
			s.depth++
			s.values++
		case '}', ']':
			s.depth--
		case ',', ':':
			s.values++
		}
		if s.depth > MaxDepth {
			return i, fmt.Sprintf("nested deeper than the limit of %d levels", MaxDepth)
		}
		if s.values > MaxValues {
			return i, fmt.Sprintf("more than the limit of %d values", MaxValues)
		}
	}
	return 0, ""
}

// invalidUTF8 returns the offset of the first invalid byte of a UTF-8 text, -1 if there
// is none.
func invalidUTF8(data []byte) int {
	if utf8.Valid(data) {
		return -1
	}
	for i := 0; ; {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
}

// stringLength returns the length in bytes of the string literal at the start of data.
func stringLength(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// commentLength returns the length in bytes of the comment at the start of data, 1 if the
// slash there starts no comment.
func commentLength(data []byte) int {
	switch {
	case bytes.HasPrefix(data, []byte("//")):
		return lengthThrough(data, "\n")
	case bytes.HasPrefix(data, []byte("/*")):
		return len("/*") + lengthThrough(data[len("/*"):], "*/")
	default:
		return 1
	}
}

// lengthThrough returns the length of data up to and including the first occurrence of
// end, or all of data if end does not occur.
func lengthThrough(data []byte, end string) int {
	index := bytes.Index(data, []byte(end))
	if index < 0 {
		return len(data)
	}
	return index + len(end)
}
