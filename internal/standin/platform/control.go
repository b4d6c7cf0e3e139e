package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// status is the content of the control page.
type status struct {
	Counts Counts `json:"counts"`
	Faults Faults `json:"faults"`
}

// ControlHandler returns the control page: GET returns counts and faults, POST to
// /faults sets the faults from the query, POST to /reset resets the counts.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", s.showStatus)
	mux.HandleFunc("POST /faults", s.changeFaults)
	mux.HandleFunc("POST /reset", s.resetCounts)
	return mux
}

func (s *Server) showStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(status{Counts: s.counter.Counts(), Faults: s.Faults()}) // the client has disconnected
}

func (s *Server) resetCounts(w http.ResponseWriter, r *http.Request) {
	s.counter.Reset()
	s.showStatus(w, r)
}

func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := parseFaults(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	s.showStatus(w, r)
}

// parseFaults reads the faults from a query such as
// "down=unavailable&delay=200ms&stale=true&backwards=true&behind=true&corrupt_every=3".
// Faults that the query omits are disabled.
func parseFaults(r *http.Request) (Faults, error) {
	query := r.URL.Query()
	p := queryParser{values: query}
	f := Faults{
		Down:         Availability(query.Get("down")),
		Delay:        parseField(&p, "delay", time.ParseDuration),
		Stale:        parseField(&p, "stale", strconv.ParseBool),
		Backwards:    parseField(&p, "backwards", strconv.ParseBool),
		Lagging:      parseField(&p, "behind", strconv.ParseBool),
		CorruptEvery: parseField(&p, "corrupt_every", parseCount),
		Seed:         parseField(&p, "seed", parseCount),
	}
	p.validateAvailability(f.Down)
	return f, p.err
}
