package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
)

// observeTargets notes what the list says of the targets beside the node. It does not block.
func (s *targetSide) observeTargets(list *model.TargetList) {
	for id, t := range list.ByID {
		if t.Address == s.address && !t.Leaving {
			s.observeEntry(s.instance(id), t)
		}
	}
}

// observeEntry notes what the list says of a target, and asks the target if it may be cold.
func (s *targetSide) observeEntry(inst *instance, t *model.Target) {
	source := ""
	if service, ok := s.serviceWarmup(t.Service); ok {
		source = inst.observeEntry(t, service, time.Now())
	}
	inst.startedAs(t.StartedAt)
	s.noteCold(inst, t.ID, source)
}

// observeUnlisted notes that a request is for a target that this node's list does not have yet,
// so that it may have started lately.
func (s *targetSide) observeUnlisted(inst *instance, h *handover) {
	if service, ok := s.serviceWarmup(h.Service); ok && inst.observeUnlisted(service, time.Now()) {
		s.noteCold(inst, h.Instance, warmupFromStart)
	}
}

// assumeCold notes that a target has started again, or may have, without an entry that says so.
// source is what tells it.
func (s *targetSide) assumeCold(inst *instance, id model.TargetID, source string) {
	if inst.assumeCold(time.Now()) {
		s.noteCold(inst, id, source)
	}
}

// serviceWarmup is what the configuration says of the cold targets of a service.
type serviceWarmup struct {
	warmup     ingress.Warmup
	healthPath string
}

// serviceWarmup returns what the configuration in force says of the cold targets of a service; ok
// is false if it has no such service.
func (s *targetSide) serviceWarmup(name string) (found serviceWarmup, ok bool) {
	table := s.replica.Table()
	if table == nil {
		return found, false
	}
	service := table.Service(name)
	if service == nil {
		return found, false
	}
	return serviceWarmup{warmup: s.settings.Load().warmup(service.Warmup), healthPath: service.HealthPath}, true
}

// noteCold logs that a target may be cold, unless source is empty, and asks the target.
func (s *targetSide) noteCold(inst *instance, id model.TargetID, source string) {
	if source == "" {
		return
	}
	s.log.Emit(eventWarmup, event.Fields{"target": id, "cold_ms": inst.coldFor(time.Now()).Milliseconds(), "source": source})
	s.checkHealth(inst, id, 0)
}
