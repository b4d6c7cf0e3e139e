package logpipe

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLinesArriveInOrder(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	p := New(&out)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, _ = p.Write([]byte(line))
	}
	p.Close()
	g.Expect(out.String()).To(Equal("one\ntwo\nthree\n"))
}

func TestFullPipeDoesNotBlock(t *testing.T) {
	g := NewWithT(t)
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	p := New(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	startTime := time.Now()
	for range 4 * maxBufferedBytes / len(line) {
		_, _ = p.Write(line)
	}
	g.Expect(time.Since(startTime)).To(BeNumerically("<", 5*time.Second), "without a reader")
	var received lockedBuffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&received, reader) // ends when the writer is closed
	}()
	g.Eventually(p.bufferedBytes, 10*time.Second).Should(BeZero(), "the lines are written once there is a reader")
	_, _ = p.Write([]byte("last\n"))
	p.Close()
	g.Eventually(received.String, 10*time.Second).Should(HaveSuffix("last\n"))
	g.Expect(writer.Close()).To(Succeed())
	<-read
	g.Expect(received.String()).To(ContainSubstring("log lines dropped"))
}

func TestCloseDoesNotWaitForAReader(t *testing.T) {
	g := NewWithT(t)
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = reader.Close() }() // nothing depends on the result
	p := New(writer)
	_, _ = p.Write(make([]byte, maxBufferedBytes))
	startTime := time.Now()
	p.Close()
	g.Expect(time.Since(startTime)).To(BeNumerically("<", 5*time.Second))
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// bufferedBytes returns the size of the lines that wait to be written.
func (p *Pipe) bufferedBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.buffer)
}

func TestNothingIsWrittenAfterClose(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	p := New(&out)
	p.Close()
	p.Close()
	_, _ = p.Write([]byte("late\n"))
	g.Expect(out.String()).To(BeEmpty())
}

// countingWriter is a buffer that counts the calls of Write.
type countingWriter struct {
	calls int
	bytes.Buffer
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.calls++
	return w.Buffer.Write(p)
}

func TestLinesAreWrittenInBatches(t *testing.T) {
	g := NewWithT(t)
	var out countingWriter
	p := New(&out)
	for range 20 {
		_, _ = p.Write([]byte("line\n"))
	}
	p.Close()
	g.Expect(out.String()).To(Equal(strings.Repeat("line\n", 20)))
	g.Expect(out.calls).To(BeNumerically("<=", 2))
}
