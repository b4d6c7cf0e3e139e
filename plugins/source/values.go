package source

import (
	"context"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// apply delivers a value if it is newer than any before, or if redeliver is set
// and it is the newest one again. It returns an error for a value that is invalid,
// older, conflicting or not confirmed.
func (r *reader) apply(ctx context.Context, f *feed, value model.Value, redeliver bool) error {
	digest := config.DigestOf(value.Data)
	if digest == f.version.digest && value.Revision >= f.version.revision && !redeliver {
		f.version.revision = value.Revision
		return nil
	}
	parsed, err := f.parse(value.Data)
	if err != nil {
		return r.rejectValue(f.key, err)
	}
	found := version{number: parsed.number, digest: digest, revision: value.Revision}
	switch f.version.compare(found) {
	case comparisonOlder:
		return r.rejectOlder(f, found)
	case comparisonConflict:
		return r.rejectConflict(f, found)
	case comparisonSame:
		f.version.revision = value.Revision
		if redeliver {
			parsed.deliver()
		}
		return nil
	}
	if err := f.confirm(ctx, found, value.Data); err != nil {
		return err
	}
	f.version = found
	f.backward = false
	r.metrics.fresh.Add(1)
	parsed.deliver()
	return nil
}

// rejectValue counts and logs an invalid value and returns err with the key.
func (r *reader) rejectValue(key string, err error) error {
	r.metrics.corrupt.Add(1)
	r.log.Emit(eventCorrupt, event.Fields{"key": key, "error": err.Error()})
	return errors.WithMessagef(err, "value %s", key)
}

func (r *reader) rejectOlder(f *feed, found version) error {
	r.metrics.backward.Add(1)
	if !f.backward {
		f.backward = true
		r.log.Emit(eventBackward, event.Fields{"key": f.key, "number": found.number, "highest": f.version.number})
	}
	return errors.Errorf("value %s is older than one read before", f.key)
}

func (r *reader) rejectConflict(f *feed, found version) error {
	r.metrics.conflicts.Add(1)
	r.log.Emit(eventConflict, event.Fields{"key": f.key, "number": found.number})
	return errors.Errorf("value %s has different contents under number %d", f.key, found.number)
}
