package operator

import (
	"encoding/json"
	"net/http"
	"runtime"
	"strconv"

	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// readinessCheck is a condition of readiness. check returns an error while it is not
// met.
type readinessCheck struct {
	name  string
	check func() error
}

// readiness is the response of /readyz.
type readiness struct {
	Ready bool `json:"ready"`
	// Waiting holds the error of each unmet condition by its name.
	Waiting map[string]string `json:"waiting,omitempty"`
}

// Require adds a condition of readiness. check returns an error while the condition is
// not met.
func (o *Operator) Require(name string, check func() error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checks = append(o.checks, readinessCheck{name: name, check: check})
}

// addBuiltinChecks requires a settled configuration and a node that is not draining,
// if plug-ins provide these states.
func (o *Operator) addBuiltinChecks() {
	if configuration, err := kernel.Lookup[model.Configuration](o.ctx); err == nil {
		o.Require("configuration", func() error { return checkSettled(configuration.Status()) })
	}
	if drainer, err := kernel.Lookup[model.Drainer](o.ctx); err == nil {
		o.Require("drain", func() error { return checkServing(drainer.Stage()) })
	}
}

// checkSettled returns an error unless a release is in force and the configuration has
// settled.
func checkSettled(s model.ConfigurationStatus) error {
	if !s.Settled {
		return errors.New("the configuration has not settled")
	}
	if s.Release == 0 {
		return errors.New("no release is in force")
	}
	return nil
}

// checkServing returns an error if the node is draining.
func checkServing(stage model.DrainStage) error {
	if stage != model.StageServing {
		return errors.Errorf("the node is draining (stage %s)", stage)
	}
	return nil
}

func (o *Operator) readiness() readiness {
	o.mu.Lock()
	checks := o.checks
	o.mu.Unlock()
	r := readiness{Ready: true, Waiting: map[string]string{}}
	for _, c := range checks {
		if err := c.check(); err != nil {
			r.Ready = false
			r.Waiting[c.name] = err.Error()
		}
	}
	return r
}

// addBuiltinPages registers the pages that the plug-in itself serves.
func (o *Operator) addBuiltinPages() {
	o.Handle("/healthz", func(*http.Request) (any, error) {
		return health{Status: "ok"}, nil
	})
	o.Handle("/debug/vars", func(*http.Request) (any, error) { return o.vars(), nil })
	o.Handle("/v1/events", o.eventsPage)
	o.Handle("/v1/status", o.statusPage)
	o.Handle("/v1/members", o.membersPage)
	o.Handle("/v1/snapshot", o.snapshotPage)
	o.HandleRaw("/readyz", http.HandlerFunc(o.serveReady))
}

// health is the response of /healthz.
type health struct {
	Status string `json:"status"`
}

// serveReady serves /readyz with status 503 while a condition is not met.
func (o *Operator) serveReady(w http.ResponseWriter, _ *http.Request) {
	r := o.readiness()
	status := http.StatusOK
	if !r.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, r)
}

// variables is the response of /debug/vars.
type variables struct {
	Host        model.HostID     `json:"host"`
	Incarnation string           `json:"incarnation"`
	Goroutines  int              `json:"goroutines"`
	Plugins     json.RawMessage  `json:"plugins"`
	Memory      runtime.MemStats `json:"memstats"`
}

func (o *Operator) vars() variables {
	v := variables{
		Host:        o.ctx.Host().ID,
		Incarnation: incarnationText(o.ctx.Incarnation()),
		Goroutines:  runtime.NumGoroutine(),
		Plugins:     json.RawMessage(o.ctx.AllMetrics().String()),
	}
	runtime.ReadMemStats(&v.Memory)
	return v
}

// eventsPage serves /v1/events?limit=. It returns the newest events, oldest first.
func (o *Operator) eventsPage(r *http.Request) (any, error) {
	limit := maxEvents
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, &model.PageError{Status: http.StatusBadRequest, Message: "limit must be a positive integer"}
		}
		limit = n
	}
	return o.recent.newest(limit), nil
}
