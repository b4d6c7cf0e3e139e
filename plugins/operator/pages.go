package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
)

// page is a handler at a path, for GET requests only or for all methods.
type page struct {
	path    string
	getOnly bool
	handler http.Handler
}

// Handle serves GET requests at path with the result of f, encoded as JSON. An error
// that is a model.PageError sets the response's status; others give status 500.
func (o *Operator) Handle(path string, f func(r *http.Request) (any, error)) {
	o.add(page{path: path, getOnly: true, handler: o.jsonHandler(f)})
}

// HandleRaw serves requests of all methods at path.
func (o *Operator) HandleRaw(path string, handler http.Handler) {
	o.add(page{path: path, handler: handler})
}

// add registers a page. Pages added after the start are logged and not served.
func (o *Operator) add(p page) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.started {
		o.ctx.Log().Emit(eventLatePage, event.Fields{"path": p.path})
		return
	}
	o.pages = append(o.pages, p)
}

// buildRouter returns the router of all pages. Pages added later are rejected.
func (o *Operator) buildRouter() (http.Handler, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = true
	app := iris.New()
	app.Logger().SetOutput(io.Discard)
	app.Configure(iris.WithoutStartupLog, iris.WithoutBanner, iris.WithoutInterruptHandler)
	for _, p := range o.pages {
		serve := o.countRequests(p.handler)
		if p.getOnly {
			app.Get(p.path, serve)
		} else {
			app.Any(p.path, serve)
		}
	}
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build operator pages")
	}
	return app, nil
}

// countRequests wraps a handler for the router and counts its requests.
func (o *Operator) countRequests(handler http.Handler) iris.Handler {
	return func(ctx iris.Context) {
		o.metrics.requests.Add(1)
		handler.ServeHTTP(ctx.ResponseWriter(), ctx.Request())
	}
}

func (o *Operator) jsonHandler(f func(r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value, err := f(r)
		status := http.StatusOK
		if err != nil {
			o.metrics.errors.Add(1)
			status = errorStatus(err)
			value = errorBody{Error: err.Error()}
		}
		writeJSON(w, status, value)
	})
}

type errorBody struct {
	Error string `json:"error"`
}

func errorStatus(err error) int {
	var page *model.PageError
	if errors.As(err, &page) {
		return page.Status
	}
	return http.StatusInternalServerError
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(body.Bytes()) // fails only if the client has disconnected
}
