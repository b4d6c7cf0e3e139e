package target

import (
	"sort"
	"sync"
)

// ExecutionRecord counts the executions of one call.
type ExecutionRecord struct {
	// ID is the request ID of the call.
	ID string `json:"id"`
	// Started counts the executions that began, Completed those whose response was
	// written completely.
	Started   int `json:"started"`
	Completed int `json:"whole"`
	// Canceled counts the executions whose caller disconnected or whose deadline
	// expired.
	Canceled int `json:"canceled"`
}

// ExecutionLog records the executions of a target. It is safe for concurrent use.
type ExecutionLog struct {
	mu      sync.Mutex
	records map[string]*ExecutionRecord
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{records: map[string]*ExecutionRecord{}}
}

func (l *ExecutionLog) update(id string, change func(*ExecutionRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil {
		r = &ExecutionRecord{ID: id}
		l.records[id] = r
	}
	change(r)
}

// Records returns a copy of all records, sorted by ID.
func (l *ExecutionLog) Records() []ExecutionRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]ExecutionRecord, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, *r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Started returns the number of executions of a call that began.
func (l *ExecutionLog) Started(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[id]; r != nil {
		return r.Started
	}
	return 0
}
