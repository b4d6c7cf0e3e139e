// Package event defines the numbered events that the system logs. Each package
// defines its own events during initialization; docs/EVENTS.md lists all of them.
package event

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is a type of log event, as listed in the catalogue.
type Event struct {
	// Number identifies the event. The number of a removed event is not reused.
	Number int
	// Level is the severity at which the event is logged.
	Level logrus.Level
	// Message is the log message, which is the same each time.
	Message string
	// Fields contains the names of the log fields of the event.
	Fields []string
	// Meaning explains to an operator what has happened.
	Meaning string
	// Action is what an operator should do.
	Action string
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]*Event{}
)

// Define adds e to the catalogue and returns a pointer to it. It panics if the
// number is already in use, which is a programming error.
func Define(e Event) *Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if existing, ok := catalogue[e.Number]; ok {
		panic(fmt.Sprintf("event %d defined twice: %q and %q", e.Number, existing.Message, e.Message))
	}
	catalogue[e.Number] = &e
	return &e
}

// Catalogue returns all defined events sorted by number.
func Catalogue() []*Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	events := make([]*Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Fields contains the values of the log fields by name.
type Fields = logrus.Fields

// Record is one logged occurrence of an event.
type Record struct {
	Event  *Event
	Fields Fields
}

// Log writes events to a logrus entry and to its observers.
type Log struct {
	entry     *logrus.Entry
	mu        sync.RWMutex
	observers []func(Record)
}

// NewLog returns a Log that writes to entry.
func NewLog(entry *logrus.Entry) *Log {
	return &Log{entry: entry}
}

// NewDiscardLog returns a Log that writes nothing. Its observers are called.
func NewDiscardLog() *Log {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return NewLog(logrus.NewEntry(logger))
}

// Emit logs e with fields and its number as the field "event", then calls the
// observers.
func (l *Log) Emit(e *Event, fields Fields) {
	data := make(logrus.Fields, len(fields)+1)
	for name, value := range fields {
		data[name] = value
	}
	data["event"] = e.Number
	l.entry.WithFields(data).Log(e.Level, e.Message)
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, observe := range l.observers {
		observe(Record{Event: e, Fields: fields})
	}
}

// Observe registers a function that Emit calls for each event, in the goroutine
// of its caller. The function must not block and must not call Emit.
func (l *Log) Observe(observe func(Record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observers = append(l.observers, observe)
}
