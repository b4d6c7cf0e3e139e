package uplink

import (
	"context"
	"io"
)

// Writer writes a large answer to the link at the rate of its scheduler.
type Writer struct {
	ctx         context.Context
	to          io.Writer
	reservation *Reservation
}

// NewWriter returns a writer that writes an answer in chunks, each when the link is free. With a
// nil reservation it returns to unchanged.
func NewWriter(ctx context.Context, to io.Writer, r *Reservation) io.Writer {
	if r == nil {
		return to
	}
	return &Writer{ctx: ctx, to: to, reservation: r}
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		n, err := w.reservation.Next(w.ctx, len(p))
		if err != nil {
			return written, err
		}
		n, err = w.to.Write(p[:n])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}
