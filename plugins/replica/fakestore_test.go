package replica

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// fakeStore is a store in memory.
type fakeStore struct {
	mu sync.Mutex
	// items holds all writes; the index of one is its revision less 1.
	items   []model.Item
	era     uint64
	changed chan struct{}
	// down is set while no call is answered.
	down bool
	// publishedAt holds the time at which each configuration was published, by number.
	publishedAt map[uint64]time.Time
	// calls counts the lists and watches.
	calls int
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: 1, changed: make(chan struct{}), publishedAt: map[uint64]time.Time{}}
}

func (s *fakeStore) put(key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, model.Item{Key: key, Position: s.next(), Data: []byte(data)})
	s.wake()
}

// remove removes an item.
func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, model.Item{Key: key, Position: s.next(), Removed: true})
	s.wake()
}

// next returns the position of the next write. The caller holds mu.
func (s *fakeStore) next() model.Position {
	return model.Position{Era: s.era, Revision: uint64(len(s.items) + 1)}
}

// wake wakes the watches. The caller holds mu.
func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore replaces the content by a copy without the last writes, which it returns.
func (s *fakeStore) restore(lost int) []model.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := max(len(s.items)-lost, 0)
	writes := slices.Clone(s.items[kept:])
	s.items = slices.Clone(s.items[:kept])
	s.era++
	for i := range s.items {
		s.items[i].Position.Era = s.era
	}
	s.wake()
	return writes
}

// rewrite writes lost writes again.
func (s *fakeStore) rewrite(writes []model.Item) {
	for _, w := range writes {
		if w.Removed {
			s.remove(w.Key)
		} else {
			s.put(w.Key, string(w.Data))
		}
	}
}

// configure publishes a configuration with a number above 0.
func (s *fakeStore) configure(number uint64) {
	s.put(configurationKey, strconv.FormatUint(number, 10))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishedAt[number] = time.Now()
}

// latestBefore returns the highest number of a configuration published up to a time.
func (s *fakeStore) latestBefore(t time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := uint64(0)
	for number, at := range s.publishedAt {
		if !at.After(t) {
			highest = max(highest, number)
		}
	}
	return highest
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// since returns the writes after a position, and the position up to which they are complete.
func (s *fakeStore) since(after model.Position) (items []model.Item, upTo model.Position, changed chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upTo = model.Position{Era: s.era, Revision: uint64(len(s.items))}
	return append(items, s.items[min(after.Revision, upTo.Revision):]...), upTo, s.changed, s.down
}

// list returns the present items. If it also returned earlier writes of an item, a node that
// starts would put each earlier configuration in force in passing.
func (s *fakeStore) list() []model.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := map[string]model.Item{}
	for _, item := range s.items {
		held[item.Key] = item
		if item.Removed {
			delete(held, item.Key)
		}
	}
	return slices.Collect(maps.Values(held))
}

// takeCalls returns the number of calls since it was last called.
func (s *fakeStore) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = 0
	return calls
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*fakeStore
	host *testHost
}

// storeSlack is the time beyond its wait after which a call fails that gets no answer.
const storeSlack = 700 * time.Millisecond

var (
	errNoAnswer    = errors.New("the store does not answer")
	errRefusedCall = errors.New("the store rejects the call")
)

// List implements model.Store.
func (s hostStore) List(ctx context.Context, _ bool) ([]model.Item, model.Position, error) {
	_, upTo, err := s.call(ctx, model.Position{}, 0)
	if err != nil {
		return nil, model.Position{}, err
	}
	return s.list(), upTo, nil
}

// Watch implements model.Store.
func (s hostStore) Watch(ctx context.Context, after model.Position, wait time.Duration) ([]model.Item, model.Position, error) {
	items, upTo, err := s.call(ctx, after, wait)
	if err == nil && upTo.Era != after.Era {
		return nil, model.Position{}, model.ErrCompacted
	}
	return items, upTo, err
}

// call returns the writes after a position, once there are any or wait has elapsed.
func (s hostStore) call(ctx context.Context, after model.Position, wait time.Duration) ([]model.Item, model.Position, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if s.host.refused.Load() {
		return nil, model.Position{}, errRefusedCall
	}
	timeout := time.After(wait + storeSlack)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, upTo, changed, down := s.since(after)
		if down || s.host.isolated.Load() {
			select {
			case <-timeout:
			case <-ctx.Done():
			}
			return nil, model.Position{}, errNoAnswer
		}
		if len(items) > 0 || upTo.Era != after.Era && !after.IsZero() {
			return items, upTo, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, upTo, nil
		case <-ctx.Done():
			return nil, model.Position{}, ctx.Err()
		}
	}
}

// fakeDecoder decodes the items that testFleet writes.
type fakeDecoder struct{}

// Kind implements model.ItemDecoder.
func (fakeDecoder) Kind(key string) model.ItemKind {
	switch {
	case key == configurationKey:
		return model.ItemConfiguration
	case strings.HasPrefix(key, evacuationPrefix):
		return model.ItemEvacuation
	}
	return model.ItemTarget
}

// Configuration implements model.ItemDecoder.
func (fakeDecoder) Configuration(item model.Item) (*ingress.Document, error) {
	number, err := strconv.ParseUint(string(item.Data), 10, 64)
	return &ingress.Document{Number: number}, err
}

// Target implements model.ItemDecoder. The key is the address.
func (fakeDecoder) Target(item model.Item) (*model.Target, error) {
	return &model.Target{
		ID:       model.TargetID(item.Key),
		Service:  "alpha",
		Address:  netip.MustParseAddrPort(item.Key),
		Domain:   string(item.Data),
		Slots:    1,
		Position: item.Position,
	}, nil
}

// evacuationPrefix is followed by the name of a failure domain.
const evacuationPrefix = "evacuate/"

// Evacuation implements model.ItemDecoder.
func (fakeDecoder) Evacuation(item model.Item) (string, error) {
	domain := strings.TrimPrefix(item.Key, evacuationPrefix)
	if !item.Removed && len(item.Data) > 0 {
		return domain, errors.New("an evacuation has no content")
	}
	return domain, nil
}

// list writes the entry of the host's target to the store.
func (h *testHost) list() {
	h.fleet.store.put(netip.AddrPortFrom(h.address, 80).String(), h.domain)
}
