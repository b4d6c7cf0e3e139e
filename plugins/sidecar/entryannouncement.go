package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
)

// shareOf returns the node's share of a target's limit, in requests per second.
func (s *targetStats) shareOf(limit float64) float64 {
	return ratelimit.Share(limit, s.fleetSize())
}

// updateState records what a target has announced according to the node beside it, as of
// sentAt. The caller holds mu.
func (s *targetStats) updateState(t *model.Target, r *targetRecord, state targetState, sentAt, now time.Time) {
	if state.Leaving {
		s.departures.record(t.ID, state.incarnationOf(t), now)
	}
	if sentAt.Before(r.stateAt) {
		return // another answer holds a later state
	}
	if state.namesLimit() != r.state.namesLimit() || state.Leaving != r.state.Leaving {
		l := loggedAnnouncement{limited: state.Limited, rate: state.Rate, leaving: state.Leaving}
		s.log.Emit(eventAnnounced, l.fields(t.ID, sourcePeer))
	}
	r.linkFreeAt = sentAt.Add(state.LinkWait)
	r.pace.Report(state.Pace, sentAt)
	state.LinkWait, state.Pace, state.MeanRunTime = 0, 0, 0 // these are not passed on
	r.state, r.stateAt = state, sentAt
	r.limitEndsAt = time.Time{}
	switch {
	case !state.Limited:
		r.share.Clear()
		return
	case state.LimitedFor > 0:
		r.limitEndsAt = now.Add(state.LimitedFor)
	}
	r.share.SetRate(s.shareOf(state.Rate), now)
}

// namesLimit reports whether the target itself names a limit, which lasts until it ends it.
func (s targetState) namesLimit() bool { return s.Limited && s.LimitedFor == 0 }

// incarnationOf returns when the incarnation that the state is about started: that of the
// entry if the sender does not know it.
func (s targetState) incarnationOf(t *model.Target) time.Time {
	if s.StartedAt == 0 {
		return t.StartedAt
	}
	return time.UnixMilli(s.StartedAt)
}

// known returns what the node knows of a target's announcements.
func (s *targetStats) known(t *model.Target) targetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.targets[t.ID]
	if r == nil {
		return targetState{}
	}
	state := r.state
	if !r.limitEndsAt.IsZero() {
		state.LimitedFor = max(time.Until(r.limitEndsAt), time.Millisecond)
	}
	return state
}
