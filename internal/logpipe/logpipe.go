// Package logpipe writes log lines without ever blocking the writer. When the reader of
// the log is too slow, lines are dropped and counted.
package logpipe

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the size of the lines that wait to be written.
	maxBufferedBytes = 1 << 20
	// flushTimeout bounds the time that Close waits for buffered lines to be written.
	flushTimeout = 200 * time.Millisecond
	// batchDelay is the time that lines wait for further lines, so that they are written
	// together.
	batchDelay = 50 * time.Millisecond
)

// Pipe is a non-blocking io.Writer for complete lines. It is safe for concurrent use.
type Pipe struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped uint64
	closed  bool
	ready   chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// New returns a pipe that writes to out until it is closed.
func New(out io.Writer) *Pipe {
	p := &Pipe{out: out, ready: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go p.run()
	return p
}

// Write buffers a line, or drops it if the buffer is full or the pipe is closed. It
// never blocks or fails.
func (p *Pipe) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.buffer)+len(line) > maxBufferedBytes {
		p.dropped++
		return len(line), nil
	}
	p.buffer = append(p.buffer, line...)
	select {
	case p.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes buffered lines until the pipe is closed.
func (p *Pipe) run() {
	defer close(p.done)
	var spare []byte
	for range p.ready {
		p.awaitBatch()
		p.mu.Lock()
		lines, dropped := p.buffer, p.dropped
		p.buffer, p.dropped = spare[:0], 0
		closed := p.closed
		p.mu.Unlock()
		if dropped > 0 {
			lines = append(lines, droppedLine(dropped)...)
		}
		_, _ = p.out.Write(lines) // there is nowhere to log the failure
		spare = lines
		if closed {
			return
		}
	}
}

// awaitBatch waits for further lines, at most batchDelay, or until the pipe is closed.
func (p *Pipe) awaitBatch() {
	select {
	case <-time.After(batchDelay):
	case <-p.closing:
	}
}

// droppedLine returns the log line that reports the number of dropped lines.
func droppedLine(dropped uint64) string {
	return fmt.Sprintf(`{"event":%d,"level":"warning","msg":"log lines dropped","lines":%d,"time":%q}`+"\n",
		eventDropped.Number, dropped, time.Now().UTC().Format(time.RFC3339))
}

// Close writes the buffered lines, waits at most flushTimeout for that, and closes the
// pipe. Lines written later are dropped.
func (p *Pipe) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.closing)
	select {
	case p.ready <- struct{}{}:
	default:
	}
	p.mu.Unlock()
	select {
	case <-p.done:
	case <-time.After(flushTimeout):
	}
}

// Interface guard.
var _ io.Writer = (*Pipe)(nil)
