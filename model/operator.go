package model

import (
	"net/http"
	"time"
)

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
