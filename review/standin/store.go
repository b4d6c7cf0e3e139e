package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeHistory is how long the store keeps its changes ("20 s of history").
	storeHistory = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of kv-range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// item is an item of the store as it is sent over the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// dropped is the revision up to which the history is gone.
	dropped uint64
	changed chan struct{}
	// largestWatch is the largest answer to a watch so far, in bytes.
	largestWatch int
	// answeredWatches counts the watches that were answered with status 200.
	answeredWatches int
}

func newStore() *Store {
	return &Store{revision: 100, dropped: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// Put writes a value. Its return is the store's acknowledgement.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if held, ok := s.items[key]; ok {
		created = held.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, at: time.Now()}
	s.items[key] = written
	s.record(written)
	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

func (s *Store) record(change item) {
	s.history = append(s.history, change)
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store's reading calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.key(w, query.Get("key"))
	case "/v1/kv-range":
		s.page(w, query.Get("prefix"), query.Get("after"))
	case "/v1/kv-watch":
		after, err := strconv.ParseUint(query.Get("after"), 10, 64)
		ms, err2 := strconv.Atoi(query.Get("wait_ms"))
		if err != nil || err2 != nil {
			http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
			return
		}
		s.watch(w, r, query.Get("prefix"), after, time.Duration(min(ms, 30000))*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) key(w http.ResponseWriter, key string) {
	s.mu.Lock()
	held, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, nil)
		return
	}
	writeJSON(w, map[string]any{"key": held.Key, "value": held.Value, "revision": held.Revision, "created_at": held.Created, "lease": 0, "store_revision": revision})
}

func (s *Store) page(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var items []item
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, held)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	size, n := 0, 0
	for n < len(items) && n < maxPageItems && (n == 0 || size+len(items[n].Value) <= maxPageBytes) {
		size += len(items[n].Value)
		n++
	}
	writeJSON(w, map[string]any{"items": items[:n], "has_more": n < len(items), "store_revision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		dropped := after < s.dropped
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case dropped:
			http.Error(w, "this history is gone", http.StatusGone)
			return
		case len(events) > 0 || over:
			n := writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			s.mu.Lock()
			s.largestWatch = max(s.largestWatch, n)
			s.answeredWatches++
			s.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return 0
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the caller may have disconnected
	return len(data)
}
