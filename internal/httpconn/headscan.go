package httpconn

import (
	"bytes"

	"github.com/bronzemast/bronzemast/internal/responsehead"
	"github.com/pkg/errors"
)

// headScanner reads the lines of the heads of a response, interim ones included, for what a parsed
// head does not show: a line that begins with a blank continues the value of the previous field. If it
// has a colon, it can't be told from a field whose name begins with a blank.
type headScanner struct {
	// done is set once the final head has ended.
	done bool
	// line is the number of the current line in its head, length what has been read of it, and
	// first its first byte.
	line   int
	length int
	first  byte
	// class is the first digit of the status.
	class byte
}

// statusIndex is the index of the status in its line: "HTTP/1.1 200".
const statusIndex = len("HTTP/1.1 ")

// scan reads a part of the heads. It returns an error that wraps responsehead.ErrMalformed.
func (s *headScanner) scan(part []byte) error {
	for len(part) > 0 && !s.done {
		text, rest, ended := bytes.Cut(part, []byte("\n"))
		if err := s.scanLine(text); err != nil {
			return err
		}
		if !ended {
			return nil
		}
		s.endLine()
		part = rest
	}
	return nil
}

// scanLine reads a part of a line.
func (s *headScanner) scanLine(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	if s.length == 0 {
		s.first = text[0]
	}
	if at := statusIndex - s.length; s.line == 0 && at >= 0 && at < len(text) {
		s.class = text[at]
	}
	s.length += len(text)
	continues := s.first == ' ' || s.first == '\t'
	if continues && bytes.IndexByte(text, ':') >= 0 {
		return errors.Wrap(responsehead.ErrMalformed, "the name of a field begins with a blank")
	}
	return nil
}

// endLine ends a line. An empty one ends the head; another head follows an interim one.
func (s *headScanner) endLine() {
	empty := s.length == 0 || s.length == 1 && s.first == '\r'
	s.length = 0
	if !empty {
		s.line++
		return
	}
	s.done = s.class != '1'
	s.line = 0
}
