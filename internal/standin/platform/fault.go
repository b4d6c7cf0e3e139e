package platform

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"
)

// Availability is whether and how the server responds.
type Availability string

// The kinds of availability.
const (
	// Up serves all calls.
	Up Availability = ""
	// Unavailable returns status 503 for all calls.
	Unavailable Availability = "unavailable"
	// Cut closes the connection of each call without a response.
	Cut Availability = "cut"
)

// Faults are the faults that the server injects. The zero value has none.
type Faults struct {
	Down Availability `json:"down"`
	// Delay is added before each call is served.
	Delay time.Duration `json:"delay_ns"`
	// Stale serves the values as they were when the fault was set.
	Stale bool `json:"stale"`
	// Backwards serves the previous value of a key on every second call for it,
	// as replicas at different revisions do.
	Backwards bool `json:"backwards"`
	// Lagging serves the previous value of each key on every call, as a lagging
	// replica does.
	Lagging bool `json:"behind"`
	// CorruptEvery corrupts every nth response for each key; 0 means none.
	CorruptEvery uint64 `json:"corrupt_every"`
	// Seed determines how the data are corrupted.
	Seed uint64 `json:"seed"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.frozen = maps.Clone(s.current)
	}
	s.faults = f
	s.notifyWatches()
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// applyDelay waits for Faults.Delay. It returns false if ctx ends first.
func (s *Server) applyDelay(ctx context.Context) bool {
	d := s.Faults().Delay
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// corrupt returns data with one bit flipped or truncated if CorruptEvery selects the
// call with the given serial number, else data as they are.
func (f Faults) corrupt(data []byte, serial uint64) []byte {
	if f.CorruptEvery == 0 || serial%f.CorruptEvery != 0 || len(data) == 0 {
		return data
	}
	r := rand.New(rand.NewPCG(f.Seed, serial))
	at := r.IntN(len(data))
	if r.IntN(2) == 0 {
		return data[:at]
	}
	corrupted := append([]byte(nil), data...)
	corrupted[at] ^= 1 << r.IntN(8)
	return corrupted
}
