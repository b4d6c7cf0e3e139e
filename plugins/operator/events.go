package operator

import (
	"fmt"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/event"
)

// loggedEvent is an event as /v1/events returns it.
type loggedEvent struct {
	At      time.Time         `json:"at"`
	Number  int               `json:"event"`
	Level   string            `json:"level"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields,omitempty"`
}

// recentEvents is a ring buffer of the newest events. It is safe for concurrent use.
type recentEvents struct {
	mu     sync.Mutex
	events []loggedEvent
	next   int
	full   bool
}

func newRecentEvents(capacity int) *recentEvents {
	return &recentEvents{events: make([]loggedEvent, capacity)}
}

// add stores an event. It is called on the goroutine that logs the event.
func (r *recentEvents) add(record event.Record) {
	logged := loggedEvent{
		At:      time.Now(),
		Number:  record.Event.Number,
		Level:   record.Event.Level.String(),
		Message: record.Event.Message,
		Fields:  make(map[string]string, len(record.Fields)),
	}
	for name, value := range record.Fields {
		logged.Fields[name] = fmt.Sprint(value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = logged
	r.next = (r.next + 1) % len(r.events)
	r.full = r.full || r.next == 0
}

// newest returns the newest events, at most limit of them, oldest first.
func (r *recentEvents) newest(limit int) []loggedEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.next
	if r.full {
		stored = len(r.events)
	}
	count := min(limit, stored)
	out := make([]loggedEvent, 0, count)
	for i := range count {
		at := (r.next - count + i + len(r.events)) % len(r.events)
		out = append(out, r.events[at])
	}
	return out
}
