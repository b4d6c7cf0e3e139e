package forwarding

import (
	"net/http"
)

// serveToken responds with a new token.
func (t *targetSide) serveToken(w http.ResponseWriter, _ *http.Request) {
	t.writeControlAnswer(w, hopAnswer{Load: t.admitter.Load()})
}

// serveInquiry responds with the state of an attempt; see ledger.inquire.
func (t *targetSide) serveInquiry(w http.ResponseWriter, r *http.Request) {
	h, err := t.decode(r)
	if err != nil {
		t.metrics.badHops.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revoke := r.URL.RawQuery == queryRevoke
	t.mu.Lock()
	state := t.ledger.inquire(h.Attempt, h.Token, revoke, t.now())
	t.mu.Unlock()
	t.metrics.inquired(state)
	t.writeControlAnswer(w, hopAnswer{
		Incarnation: h.Attempt.Incarnation,
		Sequence:    h.Attempt.Sequence,
		Outcome:     state.outcome(),
		Load:        t.admitter.Load(),
	})
}

func (t *targetSide) writeControlAnswer(w http.ResponseWriter, answer hopAnswer) {
	t.addTokenAndRelease(&answer)
	w.Header()[headerHopAnswer] = []string{answer.encode()}
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusOK)
}

func (t *targetSide) ledgerSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.size()
}
