package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/pkg/errors"
)

const (
	// maxBroadcast is the number of peers up to which a node tells news to all of them. In a
	// larger fleet it tells spreadPeers of them, chosen by random, who do the same: with six,
	// about one node in 400 is missed, and gets the news with the next synchronization.
	maxBroadcast = 16
	spreadPeers  = 6
	// batchTime is how long news are collected before they are told.
	batchTime = 20 * time.Millisecond
	// maxSpreads bounds the messages that wait for their answers. The peers that are left out
	// get the news with the next synchronization.
	maxSpreads = 64
)

// spread tells other nodes what is new until ctx ends.
func (q *Quarantine) spread(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	slots := make(chan struct{}, maxSpreads)
	for {
		first, err := q.news.Get(ctx)
		if err != nil {
			return // the node stops
		}
		_ = clock.Sleep(ctx, batchTime) // the loop ends with ctx
		m := &message{Reports: q.reports(q.takeNews(ctx, first))}
		for _, peer := range q.choosePeers(spreadPeers, maxBroadcast) {
			select {
			case slots <- struct{}{}:
				pending.Go(func() {
					defer func() { <-slots }()
					q.exchange(ctx, peer, m)
				})
			default:
			}
		}
	}
}

// takeNews returns the first of the requests that are new and all that are queued behind it, each
// once.
func (q *Quarantine) takeNews(ctx context.Context, first quarantine.Fingerprint) []quarantine.Fingerprint {
	requests := []quarantine.Fingerprint{first}
	for q.news.Len() > 0 {
		f, err := q.news.Get(ctx)
		if err != nil {
			break // the node stops
		}
		if !slices.Contains(requests, f) {
			requests = append(requests, f)
		}
	}
	return requests
}

// choosePeers returns all other nodes if there are at most all of them, else n of them, chosen
// by random.
func (q *Quarantine) choosePeers(n, all int) []string {
	peers := slices.DeleteFunc(slices.Clone(q.peers()), func(p string) bool { return p == q.self })
	if len(peers) <= all {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:n]
}

const (
	// syncInterval is the time between two synchronizations while the node has evidence. It
	// grows up to maxSyncInterval while these bring nothing new.
	syncInterval    = time.Second
	maxSyncInterval = 16 * time.Second
	// syncPeers is the number of peers in each.
	syncPeers = 2
	// startPeers is the number of peers that a node asks when it starts, and startRetry the
	// time until it asks others if none has answered. It gives up after startTimeout from the
	// time at which it knows the other nodes.
	startPeers   = 3
	startRetry   = 100 * time.Millisecond
	startTimeout = 500 * time.Millisecond
)

// errNotSynchronized is the reason why a node that has just started is not ready.
var errNotSynchronized = errors.New("no other node has been asked which requests crash targets")

// synchronize keeps the evidence of this node and the others the same until ctx ends, whatever
// was lost on the way.
func (q *Quarantine) synchronize(ctx context.Context) {
	q.synchronizeAtStart(ctx)
	interval := syncInterval
	for clock.Sleep(ctx, interval) {
		q.expire()
		if q.Empty() {
			interval = syncInterval
			continue
		}
		differed, changed := q.synchronizeWith(ctx, q.choosePeers(syncPeers, syncPeers))
		interval = nextInterval(interval, differed, changed)
	}
}

// nextInterval returns the time until the next synchronization. Nodes whose evidence differs
// though they have nothing to tell each other, since one has dropped what the other still
// keeps, would otherwise send all of it again each time.
func nextInterval(interval time.Duration, differed, changed bool) time.Duration {
	if differed && !changed {
		return min(2*interval, maxSyncInterval)
	}
	return syncInterval
}

// synchronizeAtStart asks a few other nodes for their evidence, as soon as they are known.
func (q *Quarantine) synchronizeAtStart(ctx context.Context) {
	defer q.synchronized.Store(true)
	for q.peers() == nil {
		if !clock.Sleep(ctx, startRetry) {
			return
		}
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		peers := q.choosePeers(startPeers, startPeers)
		if len(peers) == 0 || q.askAny(ctx, peers) {
			return
		}
		if !clock.Sleep(ctx, startRetry) {
			return
		}
	}
}

// askAny synchronizes with all of the peers at once. It returns when one of them has answered,
// or false if none has.
func (q *Quarantine) askAny(ctx context.Context, peers []string) bool {
	answered := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() { answered <- q.synchronizeWithPeer(ctx, peer).answered }()
	}
	for range peers {
		if <-answered {
			return true
		}
	}
	return false
}

// syncResult is the result of a synchronization with one peer.
type syncResult struct {
	answered bool
	// differed is set if the peer had other evidence, and changed if one of the two has
	// learned something new.
	differed, changed bool
}

// synchronizeWith synchronizes with all of the peers at once.
func (q *Quarantine) synchronizeWith(ctx context.Context, peers []string) (differed, changed bool) {
	results := make(chan syncResult, len(peers))
	for _, peer := range peers {
		go func() { results <- q.synchronizeWithPeer(ctx, peer) }()
	}
	for range peers {
		result := <-results
		differed = differed || result.differed
		changed = changed || result.changed
	}
	return differed, changed
}

// synchronizeWithPeer compares the digests of both nodes and, if they differ, exchanges all
// reports.
func (q *Quarantine) synchronizeWithPeer(ctx context.Context, peer string) syncResult {
	digest := q.digest()
	reply := q.exchange(ctx, peer, &message{Synchronize: true, Digest: digest})
	if reply == nil {
		return syncResult{}
	}
	result := syncResult{answered: true, differed: reply.Digest != digest}
	result.changed = q.merge(reply.Reports, peer) > 0
	digest = q.digest()
	if digest == reply.Digest || q.Empty() {
		return result
	}
	reply = q.exchange(ctx, peer, &message{Reports: q.allReports(), Digest: digest})
	result.changed = result.changed || reply != nil && reply.Digest == digest
	return result
}

func (q *Quarantine) digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Digest()
}

func (q *Quarantine) allReports() []quarantine.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Reports(q.table.Requests(), time.Now())
}
