package httpserver

import (
	"time"
)

// SetWriteDeadline sets the time after which writes fail, for http.ResponseController. The
// zero time means none. It ends with the response.
func (w *response) SetWriteDeadline(deadline time.Time) error {
	w.writeDeadline = deadline
	if w.writer == nil {
		return nil
	}
	return w.exchange.conn.rwc.SetWriteDeadline(deadline)
}

// SetReadDeadline sets the time after which reads of the request's body fail, for
// http.ResponseController. It ends with the body.
func (w *response) SetReadDeadline(deadline time.Time) error {
	return w.exchange.conn.rwc.SetReadDeadline(deadline)
}

// callerWriter writes to the caller of a connection, which may not read.
type callerWriter conn

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.budget.Wait()
	defer w.budget.Resume()
	return w.rwc.Write(p)
}
