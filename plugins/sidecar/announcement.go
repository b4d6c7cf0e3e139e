package sidecar

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
)

// announcement is what a target announces about itself in an answer.
type announcement struct {
	limit   model.RateLimit
	leaving bool
}

// maxUnknownHeaders bounds the unknown headers that are logged and counted by name.
const maxUnknownHeaders = 16

// logAnnouncement logs what an instance announces if that differs from its previous answer.
func (s *targetSide) logAnnouncement(inst *instance, id model.TargetID, head model.ResponseHead) {
	now := announcement{limit: head.Limit, leaving: head.Leaving}
	if !inst.recordAnnouncement(now) {
		return
	}
	limit := now.limit.Rate
	if !now.limit.Named {
		limit = -1
	}
	s.log.Emit(eventAnnounced, event.Fields{
		"target":  id,
		"limit":   limit,
		"invalid": now.limit.Invalid,
		"leaving": now.leaving,
		"source":  "answer",
	})
}

// recordAnnouncement reports whether an answer announces something else than the previous
// one.
func (i *instance) recordAnnouncement(now announcement) (changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	changed = now != i.announced
	i.announced = now
	return changed
}

// recordUnknownHeaders counts the unknown headers of an answer, and logs each name once.
func (s *targetSide) recordUnknownHeaders(id model.TargetID, names []string) {
	for _, name := range names {
		if s.countHeader(name) {
			s.log.Emit(eventUnknownHeader, event.Fields{"target": id, "header": name})
		}
	}
}

// countHeader counts an unknown header and reports whether it is the first with its name.
func (s *targetSide) countHeader(name string) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loggedHeaders[name] {
		if len(s.loggedHeaders) >= maxUnknownHeaders {
			return false
		}
		s.loggedHeaders[name] = true
		first = true
	}
	s.metrics.unknownHeaders.Add(name, 1)
	return first
}
