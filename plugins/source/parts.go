package source

import (
	"context"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// extraAttempts is the number of attempts of a read beyond one for each replica.
const extraAttempts = 1

// read reads the value of key from the first replica whose value passes check. It
// fails after extraAttempts more attempts than there are replicas.
func (r *reader) read(ctx context.Context, key string, hook kernel.Hook, check func([]byte) error) ([]byte, error) {
	platform := r.platform.fork()
	var readErr error
	for attempt := range platform.replicaCount() + extraAttempts {
		if err := r.acquire(ctx, r.readQueue, hook); err != nil {
			return nil, err
		}
		value, err := r.readOnce(ctx, platform, key, attempt)
		if err == nil {
			err = check(value.Data)
			if err == nil {
				return value.Data, nil
			}
			err = r.rejectValue(key, err)
		}
		readErr = moreInformative(readErr, err)
		platform.rotate()
	}
	r.platform.rotate()
	r.metrics.failures.Add(1)
	return nil, readErr
}

// moreInformative returns the error to report after two failed attempts. A replica
// that does not have a value may merely lag, so any other error takes precedence
// over model.ErrNotFound.
func moreInformative(previous, latest error) error {
	if previous != nil && errors.Is(latest, model.ErrNotFound) {
		return previous
	}
	return latest
}

// part reads the part with the given digest and verifies it.
func (r *reader) part(ctx context.Context, digest config.Digest) ([]byte, error) {
	return r.read(ctx, model.KeyPart(digest.String()), kernel.HookReadPart, func(data []byte) error {
		if found := config.DigestOf(data); found != digest {
			return errors.Errorf("%d bytes with digest %s", len(data), found.Short())
		}
		return nil
	})
}

// pack reads a pack and verifies that it can be decoded.
func (r *reader) pack(ctx context.Context, index int) ([]byte, error) {
	return r.read(ctx, model.KeyPack(index), kernel.HookReadPart, func(data []byte) error {
		_, err := config.DecodePack(data)
		return err
	})
}

// record reads a release record and verifies its number.
func (r *reader) record(ctx context.Context, number uint64) ([]byte, error) {
	return r.read(ctx, model.KeyRecord(number), kernel.HookReadRecord, func(data []byte) error {
		record, err := config.DecodeRecord(data)
		if err == nil && record.Number != number {
			return errors.Errorf("release record has number %d", record.Number)
		}
		return err
	})
}
