package sidecar

import (
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// A streamed answer that breaks off before any of it was forwarded can still be replaced by
// a retry.
func TestLongBodyThatBreaksOffInItsPrefixIsAnError(t *testing.T) {
	g := NewWithT(t)
	broken := io.MultiReader(bytes.NewReader(make([]byte, streamPrefixBytes-1)), brokenReader{})
	_, err := readBody(io.NopCloser(broken), unlimited(maxBufferedBytes+1))
	g.Expect(err).To(MatchError(errBroken))
}

func TestLongBodyIsStreamedWhole(t *testing.T) {
	g := NewWithT(t)
	sent := bytes.Repeat([]byte("0123456789"), maxBufferedBytes/10+1)
	body, err := readBody(io.NopCloser(bytes.NewReader(sent)), unlimited(int64(len(sent))))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body.buffered()).To(BeFalse())
	g.Expect(len(body.data)).To(BeNumerically("<=", streamPrefixBytes))
	received, err := io.ReadAll(body.reader())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(received, sent)).To(BeTrue())
}

// unlimited returns limits of a body with the given length, for which there is memory.
func unlimited(length int64) bodyLimits {
	return bodyLimits{length: length, firstBuffer: unknownLengthBuffer, reserve: func(int64) bool { return true }}
}

var errBroken = errors.New("broken")

// brokenReader is a stream that has broken off.
type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }
