package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// observeEntry notes whether a target is cold according to its entry in the list: it has started
// lately, or the evacuation of its failure domain has ended. The node beside it knows better and
// says so with its next answer. The caller holds mu.
func (s *targetStats) observeEntry(t *model.Target, r *targetRecord, now time.Time) {
	var coldUntil time.Time
	if t.Position != r.entryPosition {
		r.entryPosition = t.Position
		coldUntil = now.Add(t.SlowStartRemaining)
	}
	if t.ReturnedAt.After(r.returnedAt) {
		r.returnedAt = t.ReturnedAt
		coldUntil = latest(coldUntil, t.ReturnedAt.Add(s.warmup(t.Service).Duration))
	}
	if coldUntil.After(now) {
		s.startWarmup(t, r, coldUntil, now)
	}
}

// startWarmup makes the node send no more than its share of what a cold target tolerates. The
// shares begin at random times, so that not all nodes send a request at once. The caller holds mu.
func (s *targetStats) startWarmup(t *model.Target, r *targetRecord, until, now time.Time) {
	r.coldUntil = until
	w := s.warmup(t.Service)
	if !w.Limited() || r.state.namesLimit() {
		return
	}
	isNew := !r.state.Limited
	r.state.Limited, r.state.Rate, r.state.LimitedFor = true, w.Rate, until.Sub(now)
	r.limitEndsAt = until
	r.share.SetRate(s.shareOf(w.Rate), now)
	if isNew {
		r.share.SetTokens(rand.Float64(), now)
	}
}

// endWarmup removes the limit of a warm-up that is over.
func (r *targetRecord) endWarmup(now time.Time) {
	if r.limitEndsAt.IsZero() || now.Before(r.limitEndsAt) {
		return
	}
	r.limitEndsAt = time.Time{}
	r.state.Limited, r.state.Rate, r.state.LimitedFor = false, 0, 0
	r.share.Clear()
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
