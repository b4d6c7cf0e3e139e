package target

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// Query parameters of a call.
const (
	// ParamSize is the minimum length of the response body in bytes.
	ParamSize = "size"
	// ParamChunked set to 1 omits the Content-Length of the response.
	ParamChunked = "chunked"
	// ParamServiceTime overrides the mean service time for this call.
	ParamServiceTime = "service"
	// ParamNestedCalls is the number of nested calls that remain to be made.
	ParamNestedCalls = "deeper"
)

// HeaderBodyChecksum is the response header with the CRC-32 of the request body as
// received, in hexadecimal.
const HeaderBodyChecksum = "Standin-Body-Sum"

// headerShed is the response header that declares that the target shed the call
// without executing it.
const headerShed = "Bronzemast-Target-Shed"

// maxResponseBytes bounds a response body.
const maxResponseBytes = 64 << 20

// lockedRand is a seeded random source. It is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{random: rand.New(rand.NewPCG(seed, seed))}
}

func (l *lockedRand) float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// happens returns true with the given probability.
func (l *lockedRand) happens(probability float64) bool {
	return probability > 0 && l.float64() < probability
}

// serveCall admits a call to a slot and executes it.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	b := t.Behaviour()
	ctx, cancel := callContext(r)
	defer cancel()
	if b.Draining {
		writeShed(w, &b)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the request body is incomplete
	}
	err = t.slots.acquire(ctx, b.ShedAt)
	if errors.Is(err, errShed) {
		writeShed(w, &b)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler) // an expired call gets no response
	}
	defer t.slots.release()
	t.execute(ctx, w, r, &b, body)
}

// callContext returns the context of the request, bounded by the deadline header
// if the request has one.
func callContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(model.HeaderDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// writeShed rejects a call without executing it.
func writeShed(w http.ResponseWriter, b *Behaviour) {
	if !b.OmitShedHeader {
		w.Header().Set(headerShed, "1")
	}
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, b *Behaviour, body []byte) {
	id := r.Header.Get(model.HeaderRequestID)
	t.executions.update(id, func(e *ExecutionRecord) { e.Started++ })
	if t.options.OnStart != nil {
		t.options.OnStart(id, time.Now())
	}
	if !clock.Sleep(ctx, t.serviceTime(b, r)) || t.random.happens(b.Hang) && !clock.Sleep(ctx, maxHangTime) {
		t.executions.update(id, func(e *ExecutionRecord) { e.Canceled++ })
		panic(http.ErrAbortHandler) // an expired call gets no response
	}
	if t.random.happens(b.Crash) {
		panic(http.ErrAbortHandler)
	}
	if t.random.happens(b.Fail) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if status := t.makeNestedCall(ctx, r, id); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set(model.HeaderRequestID, id)
	w.Header().Set(HeaderBodyChecksum, strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16))
	if t.writeResponse(w, r, b, id) {
		t.executions.update(id, func(e *ExecutionRecord) { e.Completed++ })
	}
}

// maxHangTime bounds a hanging call whose caller neither disconnects nor sets a
// deadline.
const maxHangTime = 10 * time.Minute

func (t *Target) serviceTime(b *Behaviour, r *http.Request) time.Duration {
	mean := b.ServiceTime.Std()
	if d, err := time.ParseDuration(r.URL.Query().Get(ParamServiceTime)); err == nil {
		mean = d
	}
	factor := 1 + b.Spread*(2*t.random.float64()-1)
	if t.random.happens(b.Tail) {
		factor *= b.TailFactor
	}
	if time.Since(t.startTime) < b.ColdDuration.Std() {
		factor *= b.ColdFactor
	}
	return time.Duration(float64(mean) * factor)
}

// writeResponse writes the response and reports whether it was written completely.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, b *Behaviour, id string) bool {
	size, _ := strconv.Atoi(r.URL.Query().Get(ParamSize)) // a missing size means the minimum
	body := ResponseBody(id, min(size, maxResponseBytes))
	if r.URL.Query().Get(ParamChunked) != "1" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if t.random.happens(b.Truncate) {
		_, _ = w.Write(body[:len(body)/2]) // the connection is aborted next
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := w.Write(body)
	return err == nil
}

// ResponseBody returns the response body for the given request ID: the ID and its
// checksum, padded to at least size bytes.
func ResponseBody(id string, size int) []byte {
	head := fmt.Appendf(nil, "%s %08x\n", id, crc32.ChecksumIEEE([]byte(id)))
	if len(head) >= size {
		return head
	}
	pattern := fmt.Appendf(nil, "%08x", crc32.ChecksumIEEE(head))
	padding := bytes.Repeat(pattern, (size-len(head))/len(pattern)+1)
	return append(head, padding[:size-len(head)]...)
}

// VerifyResponse returns an error unless body is the complete response to the call
// with the given request ID and size.
func VerifyResponse(id string, size int, body []byte) error {
	want := ResponseBody(id, size)
	if bytes.Equal(body, want) {
		return nil
	}
	return errors.Errorf("response to call %s has %d bytes and differs from the %d bytes expected", id, len(body), len(want))
}
