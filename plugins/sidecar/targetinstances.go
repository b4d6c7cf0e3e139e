package sidecar

import (
	"context"
	"net"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
)

// instanceOf returns the instance that must run the request, or nil and the reason why the
// request is rejected.
func (s *targetSide) instanceOf(h *handover) (*instance, model.Reason) {
	if s.hasLeft(h) {
		return nil, model.ReasonDraining
	}
	t := s.replica.Targets().ByID[h.Instance]
	if t != nil && t.Evacuated {
		return nil, model.ReasonEvacuated
	}
	if t != nil && (t.Address != s.address || t.Service != h.Service) {
		return nil, model.ReasonNoTarget
	}
	inst := s.instance(h.Instance)
	if t != nil {
		inst.resize(t.Slots)
		s.observeEntry(inst, t)
	} else {
		s.observeUnlisted(inst, h)
	}
	inst.learn(h.known, time.Now())
	return inst, model.ReasonNone
}

// instance returns the instance with an ID, which it creates if needed.
func (s *targetSide) instance(id model.TargetID) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	inst := s.instances[id]
	if inst == nil {
		inst = newInstance(1, nil)
		inst.pool = s.pool(inst.crashes)
		inst.onReachable = func() { s.assumeCold(inst, id, warmupFromConnection) }
		s.instances[id] = inst
	}
	return inst
}

// pool returns a pool of connections to the target, which tells crashes when one is opened.
func (s *targetSide) pool(crashes *quarantine.Detector) *httpconn.Pool {
	address := s.address.String()
	dial := func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, s.settings.Load().ConnectTimeout.Std())
		defer cancel()
		connection, err := s.dial(ctx, address)
		if err == nil {
			crashes.Reached()
		}
		return connection, err
	}
	return httpconn.NewPool(dial, maxIdleToTarget, s.settings.Load().TargetIdle.Std())
}

// hasLeft reports whether the instance is leaving or no longer listed. An unlisted instance
// counts as left only if this node's list is at least as recent as the sender's.
func (s *targetSide) hasLeft(h *handover) bool {
	if s.drain.closed() {
		return true
	}
	list := s.replica.Targets()
	if t := list.ByID[h.Instance]; t != nil {
		s.departures.learn(t, h.known, time.Now())
		return t.Leaving || s.departures.includes(t)
	}
	return s.departures.includesID(h.Instance) || h.includedIn(s.replica.Position())
}

// evacuated reports whether an operator evacuates the failure domain of the target.
func (s *targetSide) evacuated(id model.TargetID) bool {
	t := s.replica.Targets().ByID[id]
	return t != nil && t.Evacuated
}

// update notes what the list says of the targets beside the node, and drops the others.
func (s *targetSide) update(list *model.TargetList) {
	s.retain(list)
	s.observeTargets(list)
}

// retain drops the instances that are not in the list, except those that named a limit
// recently: an entry that lapsed during an outage of the store may come back.
func (s *targetSide) retain(list *model.TargetList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, inst := range s.instances {
		if list.ByID[id] != nil {
			continue
		}
		inst.pool.DropIdle()
		if !inst.limitedWithin(announcementTTL) {
			inst.close()
			delete(s.instances, id)
		}
	}
}
