// Package unknownheader counts headers of another system that this program does not know, so
// that a change of that system's protocol does not go unnoticed.
package unknownheader

import (
	"expvar"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// maxNames bounds the names that are counted.
const maxNames = 16

// Names returns the names in a header that have one of the prefixes and are not known.
func Names(h http.Header, prefixes, known []string) []string {
	var unknown []string
	for name := range h {
		if hasAnyPrefix(name, prefixes) && !slices.Contains(known, name) {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

func hasAnyPrefix(text string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(text, prefix) })
}

// Recorder counts messages by the unknown headers that they have. It is safe for concurrent
// use.
type Recorder struct {
	// Counts holds the number of messages by name. It must be initialized.
	Counts *expvar.Map
	// OnNew is called for each name once.
	OnNew func(name string)

	mu    sync.Mutex
	names map[string]bool
}

// Record counts the unknown headers of a message.
func (r *Recorder) Record(names []string) {
	for _, name := range names {
		isNew, counted := r.add(name)
		if counted {
			r.Counts.Add(name, 1)
		}
		if isNew {
			r.OnNew(name)
		}
	}
}

// add adds a name. It reports whether the name is new and whether it is counted.
func (r *Recorder) add(name string) (isNew, counted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names[name] {
		return false, true
	}
	if len(r.names) >= maxNames {
		return false, false
	}
	if r.names == nil {
		r.names = map[string]bool{}
	}
	r.names[name] = true
	return true, true
}
