package target

import (
	"encoding/json"
	"net/http"
)

// Handler returns the handler for calls and for the paths of tests and tools.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, t.serveHealth)
	mux.HandleFunc("GET "+PathLoad, t.serveLoad)
	mux.HandleFunc("GET "+PathExecutions, t.serveExecutions)
	mux.HandleFunc("GET "+PathBehaviour, t.serveBehaviour)
	mux.HandleFunc("PUT "+PathBehaviour, t.changeBehaviour)
	mux.HandleFunc("/", t.serveCall)
	return mux
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if t.Behaviour().ReportUnhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := struct {
		Busy    int `json:"busy"`
		Waiting int `json:"waiting"`
	}{}
	if !t.Behaviour().ReportIdle {
		load.Busy, load.Waiting = t.slots.occupancy()
	}
	writeJSON(w, load)
}

func (t *Target) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.executions.Records())
}

func (t *Target) serveBehaviour(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Behaviour())
}

func (t *Target) changeBehaviour(w http.ResponseWriter, r *http.Request) {
	b := t.Behaviour()
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetBehaviour(b)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}
