package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
)

// SignalContext returns a context that is canceled on SIGINT or SIGTERM.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// WriteJSON writes value as indented JSON.
func WriteJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}

// Result is the outcome of a benchmark or another test run.
type Result interface {
	// Write writes the result as text.
	Write(out io.Writer) error
	// Held reports whether all checked promises held.
	Held() bool
}

// PrintResult prints a result to the standard output, as JSON if asJSON is set. It returns
// ErrReported if a promise was violated.
func PrintResult(r Result, asJSON bool) error {
	write := r.Write
	if asJSON {
		write = func(out io.Writer) error { return WriteJSON(out, r) }
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if !r.Held() {
		return ErrReported
	}
	return nil
}
