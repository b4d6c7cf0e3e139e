package distribution

import (
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

// Current implements model.Configuration.
func (p *Plugin) Current() *config.Snapshot {
	return p.current.Load()
}

// Subscribe implements model.Configuration.
func (p *Plugin) Subscribe(f func(*config.Snapshot)) {
	p.subscribers = append(p.subscribers, f)
}

// ObserveRelease implements model.Configuration. It runs on the call path; most
// invocations return after at most two atomic loads.
func (p *Plugin) ObserveRelease(peer model.HostID, release uint64) {
	current := p.current.Load()
	if release == 0 || current != nil && current.Number == release {
		return
	}
	now := time.Now().UnixNano()
	last := p.lastObserved.Load()
	if now-last < int64(observeInterval) || !p.lastObserved.CompareAndSwap(last, now) {
		return
	}
	p.enqueueLocal(observedInput{peer: peer, number: release})
}

// Status implements model.Configuration.
func (p *Plugin) Status() model.ConfigurationStatus {
	return *p.status.Load()
}

// describe returns the state of the engine as shown to operators.
func (e *engine) describe(now time.Time) *model.ConfigurationStatus {
	status := &model.ConfigurationStatus{
		Floor:     e.floor,
		HostList:  e.hosts.Version().Number,
		Settled:   e.settled,
		Highest:   e.highest,
		AppliedAt: e.appliedAt,
		Via:       e.via,
		Links:     make([]model.LinkStatus, 0, len(e.links)),
	}
	if e.settled && e.snapshot != nil {
		status.Release = e.snapshot.Number
		status.Digest = e.snapshot.Digest
	}
	if entry := e.refused.Newest(e.releases.Version().Number); entry != nil {
		refused := entry.release
		status.Refused = &refused
	}
	for _, l := range e.links {
		status.Links = append(status.Links, model.LinkStatus{
			Peer:              l.peer,
			Incarnation:       l.incarnation,
			Release:           l.versions[wire.DocumentRelease].Number,
			HostList:          l.versions[wire.DocumentHosts].Number,
			Eager:             l.eager,
			Outgoing:          l.outgoing,
			SinceLastReceived: now.Sub(l.lastReceived),
		})
	}
	return status
}

// Send implements effects.
func (p *Plugin) Send(id linkID, data []byte) {
	if s := p.sessions.get(id); s != nil {
		_ = s.queue.Put(s.ctx, data) // fails only if the link is already closed
	}
}

// Close implements effects.
func (p *Plugin) Close(id linkID, goodbye *wire.Goodbye) {
	s := p.sessions.get(id)
	if s == nil {
		return
	}
	if goodbye == nil {
		s.cancel() // stops the reader and the writer, which close the session
		return
	}
	s.closeAfter(goodbye)
}

// AllowLarge implements effects.
func (p *Plugin) AllowLarge(id linkID, allow bool) {
	if s := p.sessions.get(id); s != nil {
		s.allowLarge(allow)
	}
}

// Dial implements effects.
func (p *Plugin) Dial(d dialRequest) {
	p.dialWork.Add(1)
	go func() {
		defer p.dialWork.Done()
		p.dial(p.runContext, d)
	}()
}

// Fetch implements effects.
func (p *Plugin) Fetch(request fetchRequest) {
	_ = p.fetchQueue.Put(p.runContext, request) // never fails: the oldest is dropped
}

// Publish implements effects.
func (p *Plugin) Publish(s *config.Snapshot) {
	p.current.Store(s)
	p.statusStale = true
	_ = p.snapshots.Put(p.runContext, s) // never fails: the oldest is dropped
}

// SetHosts implements effects.
func (p *Plugin) SetHosts(list *model.HostList) {
	p.fleet.SetHostList(list)
}

// ApplyNotice implements effects.
func (p *Plugin) ApplyNotice(n model.Notice) bool {
	return p.fleet.Apply(n)
}

// Observe implements effects.
func (p *Plugin) Observe(o model.Observation) {
	p.fleet.Observe(o)
}

// Emit implements effects.
func (p *Plugin) Emit(e *event.Event, fields event.Fields) {
	p.ctx.Log().Emit(e, fields)
}
