// Package platform implements a stand-in for the platform's configuration service.
// It serves values over HTTP, counts every call and injects faults.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// valuesPath is the URL path prefix of all values.
	valuesPath = "/v1/values/"
	// headerRevision is the response header with the revision of a value.
	headerRevision = "Revision"
	// maxWait bounds the wait of a watch; longer waits are shortened to it.
	maxWait = 5 * time.Minute
)

// Server is a stand-in platform. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	mu       sync.Mutex
	revision uint64
	current  valueSet
	// previous holds, for each key, the value before the current one.
	previous valueSet
	// frozen holds the values served while Faults.Stale is set.
	frozen valueSet
	faults Faults
	// callsByKey counts the calls for each key; see nextSerial.
	callsByKey map[string]uint64
	// changed is closed and replaced at each change of a value or of the faults.
	changed chan struct{}
	counter *Counter
}

// valueSet holds values by key.
type valueSet map[string]model.Value

// New returns a server without values.
func New() *Server {
	return NewAtRevision(0)
}

// NewAtRevision returns a server without values whose first value gets the revision
// after the given one. A server that replaces an earlier one must start at a
// revision no lower than the last of the earlier one.
func NewAtRevision(after uint64) *Server {
	return &Server{
		revision:   after,
		current:    valueSet{},
		previous:   valueSet{},
		callsByKey: map[string]uint64{},
		changed:    make(chan struct{}),
		counter:    newCounter(),
	}
}

// Put stores data under key at a new revision, unless the key holds the same data
// already.
func (s *Server) Put(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.current[key]
	if found && string(old.Data) == string(data) {
		return
	}
	if found {
		s.previous[key] = old
	}
	s.revision++
	s.current[key] = model.Value{Revision: s.revision, Data: append([]byte(nil), data...)}
	s.notifyWatches()
}

// Delete removes the value of key.
func (s *Server) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, key)
	s.notifyWatches()
}

// PutHosts stores the host list.
func (s *Server) PutHosts(list *model.HostList) error {
	data, err := json.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "encode host list")
	}
	s.Put(model.KeyHosts, data)
	return nil
}

// PutRelease stores a release in the order in which publishers write it: its parts
// and packs, its record under its number, and the record as the head.
func (s *Server) PutRelease(r *config.Release) {
	for digest, data := range r.Parts {
		s.Put(model.KeyPart(digest.String()), data)
	}
	packs, err := config.EncodePacks(r)
	if err != nil {
		panic(err) // a release that was built can be packed
	}
	for i, data := range packs {
		s.Put(model.KeyPack(i), data)
	}
	s.Put(model.KeyRecord(r.Record.Number), r.Raw)
	s.Put(model.KeyHead, r.Raw)
}

// Counter returns the counter of calls.
func (s *Server) Counter() *Counter {
	return s.counter
}

// notifyWatches makes all waiting watches read their key again. The lock must be
// held.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves reads and watches of values.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, valuesPath)
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	after, wait, watch, err := watchQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.counter.add(time.Now(), key, watch)
	if !s.applyDelay(r.Context()) {
		return
	}
	serial := s.nextSerial(key)
	if !watch {
		result, _ := s.read(key, serial)
		s.writeResponse(w, result)
		return
	}
	s.counter.addWaiting(1)
	result := s.awaitChange(r.Context(), key, serial, after, wait)
	s.counter.addWaiting(-1)
	s.writeResponse(w, result)
}

// watchQuery parses the parameters of a watch. It returns watch false for a plain
// read.
func watchQuery(r *http.Request) (after uint64, wait time.Duration, watch bool, err error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return 0, 0, false, nil
	}
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, false, errors.New("after is not a revision")
	}
	ms, err := strconv.ParseUint(query.Get("wait_ms"), 10, 32)
	if err != nil {
		return 0, 0, false, errors.New("wait_ms is not a number of milliseconds")
	}
	return after, min(time.Duration(ms)*time.Millisecond, maxWait), true, nil
}

// readResult is the result of reading a key for one call.
type readResult struct {
	value     model.Value
	found     bool
	unchanged bool
	faults    Faults
	serial    uint64
}

// nextSerial returns the serial number of a call for a key. It selects the replica
// that Faults.Backwards simulates, so a watch keeps its number while it waits.
func (s *Server) nextSerial(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callsByKey[key]++
	return s.callsByKey[key]
}

// read returns the value of key that a call sees under the faults in force, and a
// channel that is closed at the next change.
func (s *Server) read(key string, serial uint64) (readResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := readResult{faults: s.faults, serial: serial}
	v.value, v.found = s.visibleValue(key, serial)
	return v, s.changed
}

// visibleValue returns the frozen, previous or current value of key, as the faults
// require. The lock must be held.
func (s *Server) visibleValue(key string, serial uint64) (model.Value, bool) {
	if s.faults.Stale {
		value, found := s.frozen[key]
		return value, found
	}
	if s.faults.Lagging || (s.faults.Backwards && serial%2 == 0) {
		if value, found := s.previous[key]; found {
			return value, true
		}
	}
	value, found := s.current[key]
	return value, found
}

// awaitChange waits until the revision of key differs from after and returns the
// value. It returns the unchanged value when the wait or ctx ends, and returns at
// once when the server is down.
func (s *Server) awaitChange(ctx context.Context, key string, serial, after uint64, wait time.Duration) readResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, changed := s.read(key, serial)
		if v.faults.Down != Up || (v.found && v.value.Revision != after) {
			return v
		}
		select {
		case <-changed:
		case <-timer.C:
			v.unchanged = v.found
			return v
		case <-ctx.Done():
			return v
		}
	}
}

// writeResponse writes the result of a read, with the faults applied.
func (s *Server) writeResponse(w http.ResponseWriter, v readResult) {
	switch {
	case v.faults.Down == Cut:
		panic(http.ErrAbortHandler)
	case v.faults.Down == Unavailable:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case !v.found:
		http.Error(w, "no such key", http.StatusNotFound)
	case v.unchanged:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set(headerRevision, strconv.FormatUint(v.value.Revision, 10))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(v.faults.corrupt(v.value.Data, v.serial)) // the client has disconnected
	}
}
