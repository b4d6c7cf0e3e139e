package quarantine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/httpget"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/internal/responsehead"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// pathQuarantine is the path at which nodes exchange reports.
	pathQuarantine = "/v1/quarantine"
	// peerTimeout bounds a call to a peer.
	peerTimeout = 700 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to a peer is kept: until the next
	// synchronization with some of the peers.
	peerIdleTimeout = 3 * time.Second
	// maxMessageBytes bounds a message: the reports on all requests of a table.
	maxMessageBytes = 512 << 10
)

// message is sent to a peer and returned by it. Nodes ignore fields that they do not know.
type message struct {
	Reports []quarantine.Report `cbor:"1,keyasint,omitempty"`
	// Synchronize asks for all reports of the peer unless its digest equals Digest.
	Synchronize bool `cbor:"2,keyasint,omitempty"`
	// Digest is the digest of the sender's evidence, the reports of this message included.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// peerClient sends messages to peers.
type peerClient struct {
	http *http.Client
}

func newPeerClient(dial httpget.DialFunc) *peerClient {
	transport := httpget.NewTransport(dial)
	transport.IdleConnTimeout = peerIdleTimeout
	return &peerClient{http: &http.Client{Transport: responsehead.NewTransport(transport)}}
}

func (c *peerClient) close() { c.http.CloseIdleConnections() }

// exchange sends a message to a peer and returns the peer's.
func (c *peerClient) exchange(ctx context.Context, peer string, m *message) (*message, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode the message")
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+pathQuarantine, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read or has failed
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peer responded with status %d", response.StatusCode)
	}
	return decodeMessage(response.Body)
}

// decodeMessage reads and decodes a message.
func decodeMessage(body io.Reader) (*message, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxMessageBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the message")
	}
	var m message
	if err := quarantine.Decoding.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode the message")
	}
	return &m, nil
}

// servePeer handles a message of a peer.
func (q *Quarantine) servePeer(w http.ResponseWriter, r *http.Request) {
	received, err := decodeMessage(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(q.receive(received, r.RemoteAddr))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // the peer may have disconnected
}

// receive adds the reports of a peer's message and returns the reply.
func (q *Quarantine) receive(received *message, peer string) *message {
	q.metrics.received.Add(1)
	q.merge(received.Reports, peer)
	q.mu.Lock()
	defer q.mu.Unlock()
	reply := &message{Digest: q.table.Digest()}
	if received.Synchronize && received.Digest != reply.Digest {
		reply.Reports = q.table.Reports(q.table.Requests(), time.Now())
	}
	return reply
}

// exchange sends a message to a peer. It logs a failure and returns nil then.
func (q *Quarantine) exchange(ctx context.Context, peer string, m *message) *message {
	q.metrics.sent.Add(1)
	reply, err := q.send(ctx, peer, m)
	if err != nil {
		q.metrics.failures.Add(1)
		q.log.Emit(eventPeerFailed, event.Fields{"peer": peer, "error": err.Error()})
		return nil
	}
	return reply
}
