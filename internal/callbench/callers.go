package callbench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// directPrefix is the prefix of the IDs of calls sent directly to a target.
	directPrefix  = "direct-"
	responseBytes = 256
	// callTimeout ends calls that get no response; it exceeds all deadlines.
	callTimeout = 10 * time.Second
	// maxOpenCalls bounds the calls in flight of a load, so that a run in which calls
	// hang still ends.
	maxOpenCalls = 20000
	// writeShare is the fraction of the calls that are not idempotent.
	writeShare = 0.3
)

// load is an open-loop stream of calls of one caller.
type load struct {
	fleet   *fleet
	caller  string
	service string
	// rate is the number of calls per second over all entry nodes.
	rate float64
	// nestedCalls is the depth of the chain of nested calls of each call.
	nestedCalls int
	// singleEntry sends all calls to the victim as entry node.
	singleEntry bool
	// compareDirect also sends each call directly to a target.
	compareDirect bool
	record        *record
	// victimRecord, if set, gets the samples of calls that enter at the victim.
	victimRecord *record
	random       *rand.Rand
	client       *http.Client
	// idSuffix follows the caller in the IDs of the calls, so that two loads of a
	// caller use different IDs.
	idSuffix string
}

func newClient() *http.Client {
	return &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerTarget, DisableCompression: true},
	}
}

// run sends calls at the rate until ctx ends, and waits for their responses.
func (l *load) run(ctx context.Context) {
	var open sync.WaitGroup
	defer l.client.CloseIdleConnections()
	defer open.Wait()
	limit := make(chan struct{}, maxOpenCalls)
	startTime := time.Now()
	for n := 0; ; n++ {
		due := startTime.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
		if !clock.SleepUntil(ctx, due) {
			return
		}
		c := l.nextCall(n)
		limit <- struct{}{}
		open.Go(func() {
			defer func() { <-limit }()
			l.send(c)
		})
	}
}

// outgoing is a call to be sent. entryIndex is the index of the host that it tries
// first as entry node.
type outgoing struct {
	id         string
	method     string
	path       string
	entryIndex int
}

// nextCall returns the nth call of the load.
func (l *load) nextCall(n int) outgoing {
	c := outgoing{id: fmt.Sprintf("%s%s-%d", l.caller, l.idSuffix, n), method: http.MethodGet, path: "/read", entryIndex: l.random.IntN(len(l.fleet.hosts))}
	if l.singleEntry {
		c.entryIndex = victim
	}
	if l.random.Float64() < writeShare && l.nestedCalls == 0 {
		c.method, c.path = http.MethodPost, "/write"
	}
	c.path += "?size=" + strconv.Itoa(responseBytes)
	if l.nestedCalls > 0 {
		c.path += "&" + target.ParamNestedCalls + "=" + strconv.Itoa(l.nestedCalls)
	}
	return c
}

// send sends the call to an entry node that is ready. If the connection to a node
// cannot be established, it tries the next one.
func (l *load) send(c outgoing) {
	l.fleet.checker.Sent(invariant.Call{ID: c.id, Caller: l.caller, Service: l.service, Idempotent: c.method == http.MethodGet, Permitted: true})
	if l.compareDirect {
		l.sendDirect(c)
	}
	for i := range l.fleet.hosts {
		entry := l.fleet.hosts[(c.entryIndex+i)%len(l.fleet.hosts)]
		if !entry.isReady() {
			continue
		}
		startTime := time.Now()
		a, err := l.request(entry.proc.Host.CallAddress, c.id, c)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			continue
		}
		l.recordResponse(c, entry, a, err, startTime)
		return
	}
	l.fleet.checker.Responded(invariant.Response{CallID: c.id, Outcome: model.OutcomeNotRun, Complete: true})
	l.record.add(sample{at: time.Now(), reason: "no-entry", outcome: model.OutcomeNotRun})
}

// sendDirect sends the same call directly to a target, without any node.
func (l *load) sendDirect(c outgoing) {
	h := l.fleet.hosts[c.entryIndex]
	h.mu.Lock()
	address := h.target.Address()
	h.mu.Unlock()
	startTime := time.Now()
	if a, err := l.request(address, directPrefix+c.id, c); err == nil && a.status == http.StatusOK {
		l.record.addDirect(time.Since(startTime))
	}
}

// callResponse is the response to a call as its caller received it.
type callResponse struct {
	status  int
	outcome model.Outcome
	reason  string
	body    []byte
}

func (l *load) request(address, id string, c outgoing) (callResponse, error) {
	var body io.Reader
	if c.method == http.MethodPost {
		body = strings.NewReader(c.id)
	}
	request, err := http.NewRequest(c.method, "http://"+address+c.path, body)
	if err != nil {
		return callResponse{}, err
	}
	request.GetBody = nil // the HTTP client must not repeat the call either
	request.Host = l.service
	request.Header.Set("Authorization", "Bearer "+credentialOf(l.caller))
	request.Header.Set(model.HeaderRequestID, id)
	response, err := l.client.Do(request)
	if err != nil {
		return callResponse{}, err
	}
	defer response.Body.Close()
	a := callResponse{
		status:  response.StatusCode,
		outcome: model.ParseOutcome(response.Header.Get(model.HeaderOutcome)),
		reason:  response.Header.Get(model.HeaderReason),
	}
	a.body, err = io.ReadAll(response.Body)
	return a, err
}

// recordResponse reports the response to the checker and records its sample.
func (l *load) recordResponse(c outgoing, entry *host, a callResponse, err error, startTime time.Time) {
	now := time.Now()
	response := invariant.Response{CallID: c.id, Outcome: a.outcome, Complete: true}
	s := sample{at: now, latency: now.Sub(startTime), outcome: a.outcome, reason: a.reason}
	switch {
	case err != nil:
		response.Outcome = model.OutcomeUnknown
		response.CutByShutdown = entry.isStopping()
		s.outcome, s.reason = model.OutcomeUnknown, "connection-lost"
	case a.outcome == model.OutcomeRan && a.status == http.StatusOK:
		s.succeeded = true
		response.BelongsTo = c.id
		if target.VerifyResponse(c.id, responseBytes, a.body) != nil {
			response.BelongsTo = "another call"
		}
	case a.outcome == model.OutcomeRan && s.reason == "":
		s.reason = "status-" + strconv.Itoa(a.status)
	}
	l.fleet.checker.Responded(response)
	if l.victimRecord != nil && entry == l.fleet.hosts[victim] {
		l.victimRecord.add(s)
		return
	}
	l.record.add(s)
}
