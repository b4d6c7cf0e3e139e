package replica

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// pathReplica is where a node serves its copy to its peers.
	pathReplica = "/v1/replica"
	// maxPeerWait bounds the time that a peer may let its call wait.
	maxPeerWait = 10 * time.Second
	// peerSlack is the time that a peer may take beyond the wait of a call to begin
	// its answer, peerBody the time for the answer itself on a slow link.
	peerSlack = 700 * time.Millisecond
	peerBody  = 5 * time.Second
	// maxPeerAnswer bounds the answer of a peer.
	maxPeerAnswer = 64 << 20
	// peerIdle is how long an unused connection to a peer is kept.
	peerIdle = 10 * time.Second
)

// peerAnswer is a node's copy, or what has changed in it.
type peerAnswer struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// Complete is set when the items are the whole copy.
	Complete bool
	// Age is the time since the copy was known to be up to date.
	Age time.Duration
	// SinceFault is the time since the store was last away; 0 if it never was.
	SinceFault time.Duration
	Items      []peerItem
}

var peerDecoding = strictcbor.Decoding(cbor.DecOptions{MaxNestedLevels: 6, MaxArrayElements: 1 << 20})

// peerClient asks peers for their copies.
type peerClient struct {
	http *http.Client
}

func newPeerClient(dial func(ctx context.Context, address string) (net.Conn, error)) *peerClient {
	return &peerClient{http: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		},
		IdleConnTimeout:    peerIdle,
		DisableCompression: true,
	}}}
}

// watch returns what has changed at a peer after a revision, as soon as anything
// has or after wait.
func (c *peerClient) watch(ctx context.Context, peer string, after uint64, wait time.Duration) (*peerAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(wait+peerSlack, cancel)
	defer limit.Stop()
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	target := url.URL{Scheme: "http", Host: peer, Path: pathReplica, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	limit.Reset(peerBody)
	defer func() { _ = response.Body.Close() }() // the answer was read or is of no use
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the peer answered %s", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPeerAnswer))
	if err != nil {
		return nil, err
	}
	var answer peerAnswer
	if err := peerDecoding.Unmarshal(data, &answer); err != nil {
		return nil, errors.Wrap(err, "the peer's answer")
	}
	return &answer, nil
}

func (c *peerClient) close() {
	c.http.CloseIdleConnections()
}

// servePeer answers the call of a peer.
func (r *Replica) servePeer(w http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseInt(request.URL.Query().Get("wait_ms"), 10, 32)
	if err != nil || ms < 0 {
		http.Error(w, "wait_ms is not a time", http.StatusBadRequest)
		return
	}
	r.sightedBy(request, after)
	r.await(request.Context(), after, min(time.Duration(ms)*time.Millisecond, maxPeerWait))
	answer := r.answerSince(after)
	if answer == nil {
		http.Error(w, "the node holds nothing yet", http.StatusServiceUnavailable)
		return
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(data))}
	_, _ = w.Write(data) // the peer may have gone
}

// sightedBy takes a peer's own revision as a sighting.
func (r *Replica) sightedBy(request *http.Request, revision uint64) {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return
	}
	r.Sighted(net.JoinHostPort(host, strconv.Itoa(int(r.peerPort))), revision)
}

// await returns when the copy is newer than a revision, after wait, or when ctx
// or the node ends.
func (r *Replica) await(ctx context.Context, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for r.Revision() <= after && !r.stopping.Load() {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if r.Revision() > after {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answerSince returns what a peer lacks, nil if the node holds nothing.
func (r *Replica) answerSince(after uint64) *peerAnswer {
	answer, lacking := r.lacking(after)
	for _, x := range lacking {
		answer.Items = append(answer.Items, r.packer.pack(x))
	}
	return answer
}

// lacking returns an answer without items, and the items for it.
func (r *Replica) lacking(after uint64) (*peerAnswer, []packing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copy.revision == 0 {
		return nil, nil
	}
	now := time.Now()
	answer := &peerAnswer{Revision: r.copy.revision, Age: now.Sub(r.confirmed)}
	if !r.regained.IsZero() {
		answer.SinceFault = now.Sub(r.regained)
	}
	if after >= r.copy.revision {
		return answer, nil
	}
	items, complete := r.copy.since(after)
	answer.Complete = complete
	lacking := make([]packing, len(items))
	for i, item := range items {
		lacking[i].item = item
		lacking[i].same = after > 0 && item.Revision <= after && !item.Removed
		if base, ok := r.copy.base(item.Key, after); ok {
			lacking[i].base = base
		}
	}
	return answer, lacking
}
