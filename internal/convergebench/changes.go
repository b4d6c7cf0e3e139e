package convergebench

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/clock"
)

// publishChanges publishes the changes one by one, with the fault and the restarts.
func (r *run) publishChanges(ctx context.Context) error {
	fault := faultInjections[r.options.Fault]
	begin := r.options.Changes / faultPhases
	end := begin + max(r.options.Changes/faultPhases, 1)
	for i := range r.options.Changes {
		if i == begin {
			if err := fault.begin(r); err != nil {
				return err
			}
		}
		faulty := i >= begin && i < end
		if err := r.publishChange(ctx, i, faulty && fault.hidesPublications); err != nil {
			return err
		}
		if i == end-1 || (faulty && i == r.options.Changes-1) {
			if err := fault.end(ctx, r); err != nil {
				return err
			}
			r.publishPending(ctx)
		}
		if i < r.options.Churn {
			if err := r.restartOne(ctx); err != nil {
				return err
			}
		}
		clock.Sleep(ctx, meanChangeInterval/2+time.Duration(r.random.Int64N(int64(meanChangeInterval))))
	}
	return nil
}

// publishChange publishes one change and waits until it is in force. A hidden change
// is published at the end of the fault instead.
func (r *run) publishChange(ctx context.Context, i int, hidden bool) error {
	changed, err := withChangedRate(r.sources, r.options.Services, i+1)
	if err != nil {
		return err
	}
	r.sources = changed
	before := r.last
	if err := r.buildRelease(); err != nil {
		return err
	}
	minimum, err := deltaBetween(before, r.last)
	if err != nil {
		return err
	}
	r.stats.deltas = append(r.stats.deltas, minimum)
	number := r.last.Record.Number
	if hidden {
		r.pending = append(r.pending, number)
		return nil
	}
	published := time.Now()
	r.checker.Published(number, r.last.Record.ContentDigest, published)
	r.platform.PutRelease(r.last)
	r.awaitInForce(ctx, number, published)
	return nil
}

// buildRelease builds the next release. The first one is also published.
func (r *run) buildRelease() error {
	number := uint64(1)
	var previous *config.Record
	if r.last != nil {
		number = r.last.Record.Number + 1
		previous = &r.last.Record
	}
	release, err := config.Build(r.sources, number, previous)
	if err != nil {
		return err
	}
	r.last = release
	if number == 1 {
		r.checker.Published(number, release.Record.ContentDigest, time.Now())
		r.platform.PutRelease(release)
	}
	return nil
}

// publishPending publishes the newest pending release, if there is one, and waits
// until it is in force.
func (r *run) publishPending(ctx context.Context) {
	if len(r.pending) == 0 {
		return
	}
	now := time.Now()
	number := r.last.Record.Number
	r.checker.Published(number, r.last.Record.ContentDigest, now)
	r.pending = nil
	r.platform.PutRelease(r.last)
	r.awaitInForce(ctx, number, now)
}
