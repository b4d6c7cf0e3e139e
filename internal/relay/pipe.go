package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// copyBufferBytes is the maximum amount of data that a pipe buffers in each direction.
const copyBufferBytes = 32 << 10

// pipe forwards one connection in both directions.
type pipe struct {
	relay               *Relay
	source, destination string
	// in is the connection from the source, out the one to the destination.
	in, out net.Conn
	// silenced is set permanently by SilenceOpen. The relay's mutex guards it.
	silenced  bool
	closeOnce sync.Once
	// done is closed when the pipe is closed.
	done chan struct{}
}

// run forwards until both directions have ended, then closes both connections.
func (p *pipe) run() {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.copy(p.out, p.in)
	}()
	p.copy(p.in, p.out)
	wg.Wait()
	p.close()
}

// copy forwards data from src to dst until one of them fails or src ends. The end of src
// is forwarded to dst.
func (p *pipe) copy(dst, src net.Conn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		if !p.applyFault() {
			return
		}
		if n > 0 {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				p.close()
				return
			}
		}
		if err != nil {
			p.forwardEnd(dst, err)
			return
		}
	}
}

// forwardEnd ends dst after a read has failed with err: after the end of the stream it
// closes only the write side of dst, after any other error it closes the pipe.
func (p *pipe) forwardEnd(dst net.Conn, err error) {
	tcp, ok := dst.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		p.close()
		return
	}
	_ = tcp.CloseWrite()
}

// applyFault delays or holds back data according to the rule. It returns false when the
// pipe is closed.
func (p *pipe) applyFault() bool {
	for {
		fault, delay, changed := p.relay.currentFault(p, p.source, p.destination)
		if fault != Silence {
			return p.sleep(delay)
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}

// sleep waits for the delay. It returns false when the pipe is closed.
func (p *pipe) sleep(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.done:
		return false
	}
}

// close resets both connections.
func (p *pipe) close() {
	p.closeOnce.Do(func() {
		close(p.done)
		reset(p.in)
		reset(p.out)
	})
}
