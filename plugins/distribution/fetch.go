package distribution

import (
	"context"
	"sync"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// maxConcurrentReads bounds the parts that one fetch reads concurrently.
const maxConcurrentReads = 4

// packThreshold is the minimum number of missing parts for which packs are read
// first.
const packThreshold = 8

// fetcher reads releases from the platform.
type fetcher struct {
	reader  model.Reader
	hooks   *kernel.Hooks
	metrics *metrics
}

// fetch reads the requested release and verifies it.
func (f *fetcher) fetch(ctx context.Context, request fetchRequest) (*config.Release, error) {
	raw, err := f.record(ctx, request)
	if err != nil {
		return nil, err
	}
	record, err := config.DecodeRecord(raw)
	if err != nil {
		return nil, err
	}
	if record.Number != request.number {
		return nil, errors.Errorf("requested record %d, got record %d", request.number, record.Number)
	}
	parts, err := f.parts(ctx, record, request.held)
	if err != nil {
		return nil, err
	}
	if err := f.hooks.At(ctx, kernel.HookVerify); err != nil {
		return nil, err
	}
	return config.Assemble(raw, parts)
}

func (f *fetcher) record(ctx context.Context, request fetchRequest) ([]byte, error) {
	if request.raw != nil {
		return request.raw, nil
	}
	f.metrics.recordsRead.Add(1)
	raw, err := f.reader.Record(ctx, request.number)
	return raw, errors.Wrapf(err, "read record %d", request.number)
}

// parts returns the parts of a record by digest and reads those that are not
// held, up to maxConcurrentReads at a time. It returns the first error.
func (f *fetcher) parts(ctx context.Context, record *config.Record, held map[config.Digest][]byte) (map[config.Digest][]byte, error) {
	parts := make(map[config.Digest][]byte, len(record.Parts))
	missing := missingParts(record, held, parts)
	if len(missing) >= packThreshold {
		missing = f.unpack(ctx, missing, parts)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		mu     sync.Mutex
		first  error
		done   sync.WaitGroup
		tokens = make(chan struct{}, maxConcurrentReads)
	)
	for _, ref := range missing {
		tokens <- struct{}{}
		done.Add(1)
		go func() {
			defer done.Done()
			defer func() { <-tokens }()
			data, err := f.part(ctx, ref)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && first == nil {
				first = err
				cancel()
			}
			parts[ref.Digest] = data
		}()
	}
	done.Wait()
	return parts, first
}

// unpack copies missing parts from the platform's packs into parts and returns
// those that are still missing. Packs only save reads, so errors are ignored:
// the remaining parts are read one by one.
func (f *fetcher) unpack(ctx context.Context, missing []config.PartRef, parts map[config.Digest][]byte) []config.PartRef {
	for index, count := 0, 1; index < count && len(missing) > 0; index++ {
		data, err := f.reader.Pack(ctx, index)
		if err != nil {
			return missing
		}
		pack, err := config.DecodePack(data)
		if err != nil {
			return missing
		}
		f.metrics.packsRead.Add(1)
		count = pack.Count
		missing = pack.Extract(missing, parts)
	}
	return missing
}

func (f *fetcher) part(ctx context.Context, ref config.PartRef) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	f.metrics.partsRead.Add(1)
	data, err := f.reader.Part(ctx, ref.Digest)
	if err != nil {
		return nil, errors.Wrapf(err, "read part %s", ref.Name)
	}
	if len(data) != ref.Size || config.DigestOf(data) != ref.Digest {
		return nil, errors.Errorf("part %s (digest %s) is corrupt", ref.Name, ref.Digest.Short())
	}
	return data, nil
}

// missingParts copies the held parts of a record into parts and returns the
// others without duplicates.
func missingParts(record *config.Record, held, parts map[config.Digest][]byte) []config.PartRef {
	var missing []config.PartRef
	seen := map[config.Digest]bool{}
	for _, ref := range record.Parts {
		if seen[ref.Digest] {
			continue
		}
		seen[ref.Digest] = true
		if data, ok := held[ref.Digest]; ok {
			parts[ref.Digest] = data
			continue
		}
		missing = append(missing, ref)
	}
	return missing
}
