package model

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
)

// Transport opens the listeners of a node and its connections to other nodes.
// It adds TLS where keys are set. The plug-in "transport" provides it.
type Transport interface {
	// HandlePeer serves pattern, as in http.ServeMux, on the peer listener. It
	// must be called before the transport starts.
	HandlePeer(pattern string, handler http.Handler)
	// HandleCalls serves all requests on the callers' listener. It must be
	// called once, before the transport starts. If the handler implements
	// httpserver.Handler, pipelined requests may be handled concurrently.
	HandleCalls(handler http.Handler)
	// DialPeer connects to the peer address of a node. The connection is
	// encrypted and authenticated when keys are set, so URLs keep the scheme
	// http.
	DialPeer(ctx context.Context, address string) (net.Conn, error)
	// DialTarget connects to the target beside the node, and DialPlatform to the
	// platform.
	DialTarget(ctx context.Context, address string) (net.Conn, error)
	DialPlatform(ctx context.Context, address string) (net.Conn, error)
	// PeerIdentity returns the host ID in the client certificate of r. It returns
	// the empty string when no keys are set.
	PeerIdentity(r *http.Request) HostID
}

// Value is a value read from the platform.
type Value struct {
	// Revision increases with each change of the value.
	Revision uint64
	Data     []byte
}

// Platform reads the platform's configuration service. Each call counts against the
// rate limit that the platform applies to the whole fleet.
type Platform interface {
	// Read returns the value of key, or ErrNotFound if there is none.
	Read(ctx context.Context, key string) (Value, error)
	// Watch blocks until the revision of key differs from after or wait has elapsed,
	// and returns the value. unchanged reports that wait elapsed without a change.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (value Value, unchanged bool, err error)
}

// Configuration provides the configuration in force. The plug-in "distribution"
// provides it.
type Configuration interface {
	// Current returns the snapshot in force, nil before the first one. Each call
	// keeps the snapshot that it started with.
	Current() *config.Snapshot
	// Subscribe calls f after each change, in order, on one goroutine. It must
	// be called before the node starts.
	Subscribe(f func(*config.Snapshot))
	// ObserveRelease records that peer has the given release number in force, as
	// learned from a call.
	ObserveRelease(peer HostID, release uint64)
	// Status describes the state of distribution for operators.
	Status() ConfigurationStatus
}

// ConfigurationStatus describes the configuration of one node.
type ConfigurationStatus struct {
	Release uint64        `json:"release"`
	Digest  config.Digest `json:"digest"`
	// Floor is the highest release number that a peer remembers this host to have
	// held. A node does not serve with an older release.
	Floor uint64 `json:"floor"`
	// HostList is the revision of the node's host list.
	HostList uint64 `json:"host_list"`
	// AppliedAt is when the release came into force on the node.
	AppliedAt time.Time `json:"applied_at"`
	// Via is the origin of the release: "source", or the ID of a peer.
	Via string `json:"via"`
	// Settled is set once the node may serve.
	Settled bool `json:"settled"`
	// Refused describes the newest refused release, if it is newer than the
	// one in force.
	Refused *RefusedRelease `json:"refused,omitempty"`
	// Highest is the highest release number known from any origin.
	Highest uint64 `json:"highest_seen"`
	// Reader reports whether the node holds a watch on the platform.
	Reader bool `json:"reader"`
	// Links holds the state of each peer link.
	Links []LinkStatus `json:"links"`
}

// RefusedRelease is a refused release and the findings that caused its refusal.
type RefusedRelease struct {
	Release  uint64            `json:"release"`
	Findings []finding.Finding `json:"findings"`
}

// LinkStatus describes one link to a peer.
type LinkStatus struct {
	Peer        HostID      `json:"peer"`
	Incarnation Incarnation `json:"incarnation"`
	// Release and HostList are the newest versions that the peer has reported.
	Release  uint64 `json:"release"`
	HostList uint64 `json:"host_list"`
	// Eager is set while the node pushes new versions on the link; otherwise it only
	// announces them.
	Eager bool `json:"eager"`
	// Outgoing is set if the node dialled the peer.
	Outgoing bool `json:"outgoing"`
	// SinceLastReceived is the time since the last message from the peer.
	SinceLastReceived time.Duration `json:"last_heard_ns"`
	SentBytes         uint64        `json:"sent_bytes"`
	RecvBytes         uint64        `json:"received_bytes"`
}

// Evidence is a kind of observation from which a node derives another host's state.
type Evidence uint8

// The kinds of evidence.
const (
	// EvidenceAlive is any response from the node of the host.
	EvidenceAlive Evidence = iota
	// EvidenceLinkLost is a link that broke or exceeded its heartbeat timeout.
	EvidenceLinkLost
	// EvidenceUnreachable is a connection attempt that was refused or timed out.
	EvidenceUnreachable
	// EvidenceDraining is the host's own report that it accepts no new work.
	EvidenceDraining
)

// Observation is a piece of evidence about one host.
type Observation struct {
	Host        HostID
	Incarnation Incarnation
	Evidence    Evidence
	At          time.Time
}

// Fleet tracks the membership state of the other hosts. The plug-in "membership"
// provides it.
type Fleet interface {
	// View returns the current view; it is never nil.
	View() *View
	// Observe adds evidence. It does not block.
	Observe(o Observation)
	// SetHostList installs a newer host list; an older one is ignored.
	SetHostList(list *HostList)
	// Apply processes a notice from a peer. It reports whether the notice was new,
	// in which case the caller must broadcast it to its other peers.
	Apply(n Notice) (isNew bool)
	// Announce publishes a change of the node's own state to the fleet.
	Announce(state MemberState)
	// SubscribeNotices calls f for each notice that this node originates. It
	// must be called before the node starts.
	SubscribeNotices(f func(Notice))
	// Subscribe calls f after each change of the view, on one goroutine. It
	// must be called before the node starts.
	Subscribe(f func(*View))
}

// Notice is a gossip message about the state of one host, which every node forwards
// once. For one incarnation the notice with the higher sequence number wins; a notice
// about an incarnation that is older than the latest known one is ignored.
type Notice struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	State       MemberState `cbor:"3,keyasint"`
	Sequence    uint64      `cbor:"4,keyasint"`
}

// Reader reads the platform on behalf of the node, within the node's quota of the
// platform's rate limit. The plug-in "source" provides it and decides whether the node
// holds a watch.
type Reader interface {
	// Part returns the part with the given digest. It does not verify the digest;
	// the caller must.
	Part(ctx context.Context, digest config.Digest) ([]byte, error)
	// Pack returns the pack with the given index, undecoded.
	Pack(ctx context.Context, index int) ([]byte, error)
	// Record returns the release record with the given number, undecoded.
	Record(ctx context.Context, number uint64) ([]byte, error)
	// SubscribeHead calls f with each newly read head record, undecoded, on one
	// goroutine. It must be called before the node starts.
	SubscribeHead(f func(record []byte))
	// SubscribeHosts calls f with each newly read host list. It must be called
	// before the node starts.
	SubscribeHosts(f func(list *HostList))
	// SetStarved sets a function that reports whether the node's peers no longer
	// supply it with current releases, so that it must read the platform itself. It
	// must be called before the node starts.
	SetStarved(f func() bool)
	// Reading reports whether the node holds a watch on the platform.
	Reading() bool
}

// Drainer takes the node out of service. The plug-in "draining" provides it.
type Drainer interface {
	// Stage returns the current stage.
	Stage() DrainStage
	// Drain starts draining; further calls have no effect.
	Drain(cause string)
	// Enter registers a call in flight. It returns false if the node no longer
	// accepts new work in that role. Each true result requires one call of Leave.
	Enter(role Role) bool
	// Leave unregisters a call that Enter has registered.
	Leave(role Role)
	// Done returns a channel that is closed once the node has drained.
	Done() <-chan struct{}
	// Subscribe calls f at each change of stage. It must be called before the
	// node starts.
	Subscribe(f func(DrainStage))
}

// DrainStage is a stage of draining. It only increases.
type DrainStage uint8

// The stages of draining.
const (
	// StageServing accepts all work.
	StageServing DrainStage = iota
	// StageRefusing rejects new work for the target; calls in flight continue.
	StageRefusing
	// StageFinishing rejects all new work and waits for calls in flight.
	StageFinishing
	// StageDone means that no call is in flight.
	StageDone
)

var drainStageNames = [...]string{"serving", "refusing", "finishing", "done"}

// String returns the lower-case name of the stage.
func (s DrainStage) String() string {
	if int(s) < len(drainStageNames) {
		return drainStageNames[s]
	}
	return "invalid"
}

// Balancer chooses targets. The plug-in "balancing" provides it.
type Balancer interface {
	// Pick chooses a target for an attempt; ok is false if there is none. Each
	// successful pick requires one call of Observe.
	Pick(r PickRequest) (m *Member, ok bool)
	// RetryAfter returns the time until the earliest retry-after delay that a target has
	// set for the caller expires, and the reason for that delay; 0 if no target has
	// set one.
	RetryAfter(r PickRequest) (time.Duration, Reason)
	// Observe records the result of the attempt at the picked target.
	Observe(o TargetObservation)
}

// PickRequest describes an attempt that needs a target.
type PickRequest struct {
	Service *config.Service
	Caller  string
	// Exclude holds the targets that earlier attempts of the call have tried.
	Exclude []HostID
	Now     time.Time
}

// TargetObservation is the result of one attempt as observed by the entry node.
type TargetObservation struct {
	Host    HostID
	Service string
	Caller  string
	Outcome Outcome
	Reason  Reason
	// Failed is set when the target or its node failed, as opposed to the request.
	Failed  bool
	Latency time.Duration
	// Load is the load that the target-side node reported with its response, nil if
	// it reported none.
	Load *Load
	// RetryAfter is the minimum delay, from Now on, that the target-side node set
	// before the caller's next request to it.
	RetryAfter time.Duration
	Now        time.Time
}

// Load is the load of a target that its node reports with each response.
type Load struct {
	// InFlight and Queued count calls at the target-side node.
	InFlight uint32
	Queued   uint32
	// Limit is the concurrency limit of admission, in calls.
	Limit uint32
}

// Admitter performs admission control at the target-side node. The plug-in
// "admission" provides it.
type Admitter interface {
	// Admit waits for a slot until the deadline of ctx, or rejects the call without
	// waiting. Exactly one of permit and rejection is not nil.
	Admit(ctx context.Context, r AdmissionRequest) (permit Permit, rejection *Rejection)
	// Load returns the load to report with the next response.
	Load() Load
}

// AdmissionRequest describes a call that requires a slot.
type AdmissionRequest struct {
	Snapshot *config.Snapshot
	Service  *config.Service
	Route    *config.Route
	Caller   *config.Caller
	Grant    *config.Grant
	Deadline time.Time
}

// Permit is a granted slot.
type Permit interface {
	// Done releases the slot and records the result of the call.
	Done(r AdmissionResult)
	// OverShare reports whether the caller exceeded its share when it was admitted.
	OverShare() bool
}

// AdmissionResult is the result of an admitted call at the target.
type AdmissionResult struct {
	// ServiceTime is the time from sending the call to the target until its response
	// was complete.
	ServiceTime time.Duration
	// Shed is set when the target rejected the call because of overload.
	Shed bool
	// Failed is set when the target returned no complete response.
	Failed bool
}

// Rejection describes why admission rejected a call.
type Rejection struct {
	Reason Reason
	// RetryAfter is the minimum delay before the caller retries.
	RetryAfter time.Duration
	OverShare  bool
}

// Recorder stores the records of finished calls. The plug-in "burn" provides it.
type Recorder interface {
	// Record adds a call. It does not block and drops the record when its buffer is
	// full.
	Record(r CallRecord)
}

// OperatorMux registers pages at the operator address. The plug-in "operator"
// provides it; it has no dependencies, so any plug-in can require it.
type OperatorMux interface {
	// Handle serves GET requests at path with the result of f encoded as JSON.
	Handle(path string, f func(r *http.Request) (any, error))
	// HandleRaw serves all methods at path.
	HandleRaw(path string, handler http.Handler)
	// Address returns the bound address, IP:port, once the operator plug-in
	// has started.
	Address() string
}

// Readiness collects the conditions under which the node accepts calls. The plug-in
// "operator" provides it and reports the result at /readyz.
type Readiness interface {
	// Require adds a condition; check returns nil while it is met and must not
	// block. It must be called before the node starts.
	Require(name string, check func() error)
}

// PageError is returned by a page function to set the HTTP status of its response;
// any other error results in status 500.
type PageError struct {
	Status  int
	Message string
}

// Error returns the message.
func (e *PageError) Error() string { return e.Message }

// NodeStatus is the state of one node as reported at its operator address.
type NodeStatus struct {
	Host        HostID    `json:"host"`
	Region      string    `json:"region"`
	Domain      string    `json:"failure_domain"`
	Service     string    `json:"service,omitempty"`
	Incarnation string    `json:"incarnation"`
	At          time.Time `json:"at"`
	// Stage is the stage of draining.
	Stage string `json:"stage"`
	// Held holds the requests that are kept from targets since targets crash while they run
	// them.
	Held []HeldRequest `json:"held,omitempty"`
	ConfigurationStatus
}
