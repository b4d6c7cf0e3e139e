package replica

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpget"
	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/bronzemast/bronzemast/model"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// pathReplica is the path at which a node serves its copy to its peers.
	pathReplica = "/v1/replica"
	// maxPeerWait bounds the wait that a peer may request.
	maxPeerWait = 10 * time.Second
	// peerHeaderSlack is the time, beyond the wait of a request, within which the
	// response must begin, peerBodyTimeout the time to read its body on a slow link.
	peerHeaderSlack = 700 * time.Millisecond
	peerBodyTimeout = 5 * time.Second
	// maxPeerResponseBytes bounds the body of a response: the largest configuration and the
	// entries of 2,000 targets, with room to spare.
	maxPeerResponseBytes = 8 << 20
	// peerIdleTimeout is how long an idle connection to a peer is kept.
	peerIdleTimeout = 10 * time.Second
)

// peerResponse is a node's copy, or the changes to it after a position. The era of all of its
// revisions is sent in a header, which nodes that do not know eras ignore.
type peerResponse struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// Complete is set when the items are the whole copy.
	Complete bool
	// Age is the time since the copy was last confirmed to be up to date.
	Age time.Duration
	// SinceOutage is the time since the end of the store's last outage, 0 if the node
	// saw none.
	SinceOutage time.Duration
	// GapAfter and GapBefore are the ends of the copy's gap; both are 0 if there is none.
	GapAfter  uint64
	GapBefore uint64
	Items     []peerItem
	// Links holds the link rates that the node knows, if the digest of the peer differs.
	Links []peerLink
	// Held is the time from the arrival of the request to the response.
	Held time.Duration
	// SinceStoreFailure is the time since a call to the store last failed in an outage
	// that is going on as far as the node knows, 0 if there is none.
	SinceStoreFailure time.Duration
	// Follows is the host whose copy the node watches, the zero address if it reads the
	// store itself.
	Follows netip.Addr

	// era is the era of the copy.
	era uint64
	// storeFailed is set if the node has called the store, as requested, and it failed. It is
	// sent in a header.
	storeFailed bool
}

// headerStoreFailed is set on the response to a request to call the store, if that failed.
const headerStoreFailed = "Bronzemast-Store-Failed"

// position returns the position of the copy.
func (p *peerResponse) position() model.Position {
	return model.Position{Era: p.era, Revision: p.Revision}
}

// gap returns the gap of the copy.
func (p *peerResponse) gap() gap {
	if p.GapBefore == 0 {
		return gap{}
	}
	return gap{after: model.Position{Era: p.era, Revision: p.GapAfter}, before: model.Position{Era: p.era, Revision: p.GapBefore}}
}

// peerRequest is a node's request for the changes to a peer's copy.
type peerRequest struct {
	// after is the node's position, and wait how long the peer may wait for a later one
	// before it responds.
	after model.Position
	wait  time.Duration
	// verify asks the peer to call the store, if its own copy is not fresh, before it
	// responds.
	verify bool
	// eraUnknown is set if the node does not know eras.
	eraUnknown bool
	// mbps is the rate of the node's own link in Mbit/s, 0 if it is not known, and links
	// the digest of the link rates that it knows.
	mbps  float64
	links uint64
	// held holds the positions of the large items that the node has, by key. The peer may
	// send these as deltas.
	held map[string]model.Position
}

// query encodes the request as a URL query.
func (q peerRequest) query() url.Values {
	query := url.Values{
		"era":       {strconv.FormatUint(q.after.Era, 10)},
		"after":     {strconv.FormatUint(q.after.Revision, 10)},
		"wait_ms":   {strconv.FormatInt(q.wait.Milliseconds(), 10)},
		"link_mbps": {strconv.FormatFloat(q.mbps, 'f', -1, 64)},
		"links":     {strconv.FormatUint(q.links, 16)},
	}
	if q.verify {
		query.Set("verify", "1")
	}
	for _, key := range slices.Sorted(maps.Keys(q.held)) {
		query.Add("held", strconv.FormatUint(q.held[key].Revision, 10)+heldSeparator+key)
	}
	return query
}

// heldSeparator separates revision and key in a parameter "held".
const heldSeparator = ":"

// parsePeerRequest decodes the URL query of a request.
func parsePeerRequest(query url.Values) (peerRequest, error) {
	var q peerRequest
	var err error
	if q.after.Revision, err = strconv.ParseUint(query.Get("after"), 10, 64); err != nil {
		return q, errors.New("after is not a revision")
	}
	q.verify = query.Get("verify") == "1"
	q.eraUnknown = !query.Has("era")
	if !q.eraUnknown {
		if q.after.Era, err = strconv.ParseUint(query.Get("era"), 10, 64); err != nil {
			return q, errors.New("era is not a number")
		}
	}
	ms, err := strconv.ParseInt(query.Get("wait_ms"), 10, 32)
	if err != nil || ms < 0 {
		return q, errors.New("wait_ms is not a time")
	}
	q.wait = min(time.Duration(ms)*time.Millisecond, maxPeerWait)
	if q.mbps, err = strconv.ParseFloat(query.Get("link_mbps"), 64); err != nil {
		return q, errors.New("link_mbps is not a rate")
	}
	if q.links, err = strconv.ParseUint(query.Get("links"), 16, 64); err != nil {
		return q, errors.New("links is not a digest")
	}
	for _, text := range query["held"] {
		number, key, _ := strings.Cut(text, heldSeparator)
		revision, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return q, errors.New("held is not a revision and a key")
		}
		if q.held == nil {
			q.held = map[string]model.Position{}
		}
		q.held[key] = model.Position{Era: q.after.Era, Revision: revision}
	}
	return q, nil
}

var peerDecoding = strictcbor.NewDecMode(cbor.DecOptions{MaxNestedLevels: 6, MaxArrayElements: 1 << 20})

// peerClient fetches changes from the copies of peers.
type peerClient struct {
	http *http.Client
}

func newPeerClient(dial httpget.DialFunc) *peerClient {
	transport := httpget.NewTransport(dial)
	transport.IdleConnTimeout = peerIdleTimeout
	return &peerClient{http: &http.Client{Transport: transport}}
}

// assumeEra sets the era of a request of a node that does not know eras.
func (q *peerRequest) assumeEra(era uint64) {
	if !q.eraUnknown {
		return
	}
	q.after.Era = era
	for key, position := range q.held {
		q.held[key] = model.Position{Era: era, Revision: position.Revision}
	}
}

// watch returns the changes to a peer's copy after a position, as soon as there are any
// or after the wait of the request.
func (c *peerClient) watch(ctx context.Context, peer string, q peerRequest) (*peerResponse, error) {
	endpoint := &url.URL{Scheme: "http", Host: peer, Path: pathReplica, RawQuery: q.query().Encode()}
	limits := httpget.Limits{HeaderTimeout: q.wait + peerHeaderSlack, BodyTimeout: peerBodyTimeout, MaxBodyBytes: maxPeerResponseBytes}
	received, err := httpget.Get(ctx, c.http, endpoint, limits)
	if err != nil {
		return nil, err
	}
	if received.Status != http.StatusOK {
		return nil, errors.Errorf("peer responded with status %d %s", received.Status, http.StatusText(received.Status))
	}
	var response peerResponse
	if response.era, err = model.ParseEra(received.Header); err != nil {
		return nil, err
	}
	response.storeFailed = received.Header.Get(headerStoreFailed) != ""
	if err := peerDecoding.Unmarshal(received.Body, &response); err != nil {
		return nil, errors.Wrap(err, "decode the peer's response")
	}
	return &response, nil
}

func (c *peerClient) close() {
	c.http.CloseIdleConnections()
}
