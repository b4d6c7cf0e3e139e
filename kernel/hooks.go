package kernel

import (
	"context"
	"sync"
	"sync/atomic"
)

// Hook names a fault-injection point: a step that tests can make fail or wait.
type Hook string

// The fault-injection points.
const (
	HookWatch         Hook = "watch"
	HookReadRecord    Hook = "read-record"
	HookReadPart      Hook = "read-part"
	HookVerify        Hook = "verify"
	HookCompile       Hook = "compile"
	HookSwap          Hook = "swap"
	HookAnnounce      Hook = "announce"
	HookPushDelta     Hook = "push-delta"
	HookPull          Hook = "pull"
	HookDialPeer      Hook = "adopt"
	HookAcceptCall    Hook = "accept-call"
	HookPickTarget    Hook = "choose"
	HookConnect       Hook = "connect"
	HookSendAttempt   Hook = "hand-over"
	HookQueue         Hook = "queue"
	HookStartAttempt  Hook = "start"
	HookResponseHead  Hook = "answer-head"
	HookResponseBody  Hook = "answer-body"
	HookRevoke        Hook = "revoke"
	HookNotifyLeaving Hook = "notice-leaving"
	HookReject        Hook = "refuse"
	HookFinish        Hook = "finish"
	HookExit          Hook = "exit"
)

// HookFunc is called when a step is reached. If it returns an error, the step fails
// with it; a step that cannot fail ignores the error.
type HookFunc func(ctx context.Context) error

// Hooks contains the functions installed at the fault-injection points. While none
// is installed, At costs one atomic load.
type Hooks struct {
	armed atomic.Bool
	mu    sync.RWMutex
	funcs map[Hook]HookFunc
}

// NewHooks returns Hooks without any function installed.
func NewHooks() *Hooks {
	return &Hooks{funcs: map[Hook]HookFunc{}}
}

// Set installs f at hook, or removes the installed function if f is nil.
func (h *Hooks) Set(hook Hook, f HookFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f == nil {
		delete(h.funcs, hook)
	} else {
		h.funcs[hook] = f
	}
	h.armed.Store(len(h.funcs) > 0)
}

// At calls the function installed at hook, if any, and returns its error. It does
// nothing on a nil receiver.
func (h *Hooks) At(ctx context.Context, hook Hook) error {
	if h == nil || !h.armed.Load() {
		return nil
	}
	h.mu.RLock()
	f := h.funcs[hook]
	h.mu.RUnlock()
	if f == nil {
		return nil
	}
	return f(ctx)
}
