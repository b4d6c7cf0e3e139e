package source

import (
	"bytes"
	"context"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// feed is the state of a key that a node follows. It is used by one goroutine.
type feed struct {
	key      string
	schedule schedule
	version  version
	platform replicaSet
	// parse decodes and validates a value. It must not change any state.
	parse func(data []byte) (parsedValue, error)
	// confirm verifies a newer value with a second read where needed, because no
	// checksum in the value covers its number.
	confirm func(ctx context.Context, found version, data []byte) error
	// reported is set once a failure of the platform has been logged, until a
	// call succeeds; backward once an older value has, until a newer one arrives.
	reported bool
	backward bool
}

// parsedValue is a validated value and its release number or list revision.
type parsedValue struct {
	number uint64
	// deliver passes the value to the subscribers.
	deliver func()
}

func (r *reader) newFeed(key string, wait time.Duration) *feed {
	return &feed{
		key:      key,
		schedule: schedule{policy: r.policy, wait: wait},
		platform: r.platform.fork(),
	}
}

// headFeed returns the feed of the head, the newest release record.
func (r *reader) headFeed(deliver func(record []byte)) *feed {
	f := r.newFeed(model.KeyHead, r.policy.watchWait)
	f.parse = func(data []byte) (parsedValue, error) {
		record, err := config.DecodeRecord(data)
		if err != nil {
			return parsedValue{}, err
		}
		return parsedValue{number: record.Number, deliver: func() { deliver(data) }}, nil
	}
	f.confirm = func(ctx context.Context, found version, data []byte) error {
		return r.confirmHead(ctx, f.version, found, data)
	}
	return f
}

// confirmHead compares a head with the record stored under its number, unless it is
// the direct successor of the previous head. A corrupted number that is too high
// would otherwise block all later releases.
func (r *reader) confirmHead(ctx context.Context, previous, found version, data []byte) error {
	if isSuccessor(previous, data) {
		return nil
	}
	record, err := r.record(ctx, found.number)
	if err != nil {
		return errors.WithMessagef(err, "confirm head %d", found.number)
	}
	if !bytes.Equal(record, data) {
		return r.rejectValue(model.KeyHead, errors.Errorf("differs from record %d", found.number))
	}
	return nil
}

// isSuccessor reports whether a head is the direct successor of the previous one: it
// names the previous number and digest, and its own number is the next one. A
// corrupted number cannot meet all of these conditions.
func isSuccessor(previous version, data []byte) bool {
	record, err := config.DecodeRecord(data)
	if err != nil || previous.number == 0 {
		return false
	}
	return record.Previous == previous.number && record.Number == previous.number+1 && record.PreviousDigest == previous.digest
}

// hostsFeed returns the feed of the host list.
func (r *reader) hostsFeed(deliver func(list *model.HostList)) *feed {
	f := r.newFeed(model.KeyHosts, r.policy.watchWait)
	f.parse = func(data []byte) (parsedValue, error) {
		list, err := parseHosts(data)
		if err != nil {
			return parsedValue{}, err
		}
		return parsedValue{number: list.Revision, deliver: func() { deliver(list) }}, nil
	}
	f.confirm = func(ctx context.Context, found version, data []byte) error {
		return r.confirmHosts(ctx, f, data)
	}
	return f
}

// confirmHosts reads the host list a second time and rejects it if the two reads
// differ. The list carries no digest, so corruption shows in no other way.
func (r *reader) confirmHosts(ctx context.Context, f *feed, data []byte) error {
	if err := r.acquire(ctx, r.watchQueue, kernel.HookWatch); err != nil {
		return err
	}
	value, err := r.readOnce(ctx, f.platform, f.key, f.schedule.failures)
	if err != nil {
		return errors.WithMessage(err, "confirm host list")
	}
	if !bytes.Equal(value.Data, data) {
		return r.rejectValue(f.key, errors.New("two consecutive reads differ"))
	}
	return nil
}
