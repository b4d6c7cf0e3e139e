package memnet

import (
	"io"
	"os"
	"sync"
	"time"
)

// streamCapacityBytes is the amount of data in flight or unread from which on writers wait.
const streamCapacityBytes = 256 << 10

// stream is one direction of a connection.
type stream struct {
	mu sync.Mutex
	// buffer holds the delivered data that has not been read.
	buffer []byte
	// ended is set after the last data.
	ended bool
	// err is the error of a broken stream, nil otherwise.
	err error
	// changed is closed and replaced at each change of the state.
	changed       chan struct{}
	readDeadline  deadline
	writeDeadline deadline
	// inFlight is the number of bytes reserved by writers and not delivered yet.
	inFlight int
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

// notify wakes all waiting readers and writers. The caller holds mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read waits for data, the end of the stream, a failure or the read deadline.
func (s *stream) read(p []byte) (int, error) {
	for {
		s.mu.Lock()
		if s.err != nil {
			defer s.mu.Unlock()
			return 0, s.err
		}
		if len(s.buffer) > 0 {
			defer s.mu.Unlock()
			n := copy(p, s.buffer)
			s.buffer = s.buffer[n:]
			s.notify()
			return n, nil
		}
		if s.ended && s.inFlight == 0 {
			defer s.mu.Unlock()
			return 0, io.EOF
		}
		changed := s.changed
		s.mu.Unlock()
		if !s.readDeadline.wait(changed) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// reserve waits until the stream is below its capacity and reserves n bytes. A write may
// exceed the capacity.
func (s *stream) reserve(n int) error {
	for {
		s.mu.Lock()
		if s.err != nil {
			defer s.mu.Unlock()
			return s.err
		}
		if s.ended {
			defer s.mu.Unlock()
			return io.ErrClosedPipe
		}
		if s.inFlight+len(s.buffer) < streamCapacityBytes {
			defer s.mu.Unlock()
			s.inFlight += n
			return nil
		}
		changed := s.changed
		s.mu.Unlock()
		if !s.writeDeadline.wait(changed) {
			return os.ErrDeadlineExceeded
		}
	}
}

// deliver adds data to the reader's buffer and releases the bytes that were reserved for
// it.
func (s *stream) deliver(reserved int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight -= reserved
	if s.err == nil {
		s.buffer = append(s.buffer, data...)
	}
	s.notify()
}

// end ends the stream after all data, including what is still in flight.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.notify()
}

// truncate ends the stream after the data delivered so far; data still in flight is lost.
func (s *stream) truncate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.inFlight = 0
	s.notify()
}

// fail makes reads and writes fail immediately. The first cause is kept.
func (s *stream) fail(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = cause
	}
	s.notify()
}

// deadline is a deadline that can be changed while a read or write waits.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

// set replaces the deadline. The zero time removes it.
func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if d.expired == nil || isClosed(d.expired) {
		d.expired = make(chan struct{})
	}
	if at.IsZero() {
		return
	}
	expired := d.expired
	if remaining := time.Until(at); remaining > 0 {
		d.timer = time.AfterFunc(remaining, func() { closeOnce(expired) })
		return
	}
	closeOnce(expired)
}

// wait waits until changed is closed and returns true, or until the deadline passes and
// returns false.
func (d *deadline) wait(changed <-chan struct{}) bool {
	d.mu.Lock()
	if d.expired == nil {
		d.expired = make(chan struct{})
	}
	expired := d.expired
	d.mu.Unlock()
	select {
	case <-expired:
		return false
	default:
	}
	select {
	case <-changed:
		return true
	case <-expired:
		return false
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func closeOnce(c chan struct{}) {
	if !isClosed(c) {
		close(c)
	}
}
