package distribution

import (
	"context"
	"sync"
	"time"
)

// closePollInterval is the interval at which a stopping node checks for open
// sessions.
const closePollInterval = 5 * time.Millisecond

// closeTimeout bounds the wait for the final messages to be sent.
const closeTimeout = time.Second

// sessions is the set of open sessions of a node.
type sessions struct {
	mu   sync.Mutex
	byID map[linkID]*session
}

func (s *sessions) add(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[linkID]*session{}
	}
	s.byID[n.id] = n
}

func (s *sessions) remove(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, n.id)
}

func (s *sessions) get(id linkID) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *sessions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

// waitClosed waits until all sessions have closed, ctx ends or closeTimeout has
// passed.
func (s *sessions) waitClosed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for s.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// closeAll closes all open sessions without sending their queued messages.
func (s *sessions) closeAll() {
	s.mu.Lock()
	open := make([]*session, 0, len(s.byID))
	for _, n := range s.byID {
		open = append(open, n)
	}
	s.mu.Unlock()
	for _, n := range open {
		n.closeNow()
	}
}
