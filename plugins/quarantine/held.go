package quarantine

import (
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
)

// The sources of evidence as logged, besides the addresses of peers.
const (
	viaTarget = "target"
	viaAnswer = "answer"
)

// changed updates the number of records and logs which of the requests are refused from now on,
// and which no longer. The caller holds mu; the log does not block.
func (q *Quarantine) changed(requests []quarantine.Fingerprint, via string) {
	q.records.Store(int64(q.table.Len()))
	now := time.Now()
	for _, f := range requests {
		held, refused := q.table.HeldRequest(f, now)
		previous, known := q.held[f]
		switch {
		case refused && (!known || held.Crashes > previous.Crashes):
			q.held[f] = held
			q.log.Emit(eventHeld, event.Fields{
				"fingerprint": f.String(),
				"crashes":     held.Crashes,
				"since_ms":    now.Sub(held.Since).Milliseconds(),
				"for_ms":      held.Until.Sub(now).Milliseconds(),
				"via":         via,
			})
		case known && !refused:
			q.released(f, previous, now)
		}
	}
}

// released logs that a request is no longer refused. The caller holds mu.
func (q *Quarantine) released(f quarantine.Fingerprint, previous quarantine.Held, now time.Time) {
	delete(q.held, f)
	q.log.Emit(eventReleased, event.Fields{
		"fingerprint": f.String(),
		"crashes":     previous.Crashes,
		"held_ms":     now.Sub(previous.Since).Milliseconds(),
	})
}

// expire drops the evidence that is too old and logs which requests are no longer refused.
func (q *Quarantine) expire() {
	if q.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.table.Expire(now)
	q.records.Store(int64(q.table.Len()))
	for f, previous := range q.held {
		if _, refused := q.table.HeldRequest(f, now); !refused {
			q.released(f, previous, now)
		}
	}
}

// Held implements model.Quarantine.
func (q *Quarantine) Held() []model.HeldRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	var requests []model.HeldRequest
	for _, held := range q.table.Held(time.Now()) {
		requests = append(requests, model.HeldRequest{
			Fingerprint: held.Fingerprint.String(),
			Crashes:     held.Crashes,
			Since:       held.Since,
			Until:       held.Until,
		})
	}
	return requests
}

// heldAges returns for how long each refused request has been refused, in seconds, by
// fingerprint.
func (q *Quarantine) heldAges() map[string]float64 {
	ages := map[string]float64{}
	for _, held := range q.Held() {
		ages[held.Fingerprint] = time.Since(held.Since).Seconds()
	}
	return ages
}
