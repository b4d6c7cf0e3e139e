package forwarding

import (
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/model"
)

// maxDepth is the maximum depth of nested calls. It terminates call loops.
const maxDepth = 32

// bearerPrefix precedes the credential in an Authorization header.
const bearerPrefix = "Bearer "

// resolvedRequest holds the configuration objects that apply to a request.
type resolvedRequest struct {
	service *config.Service
	route   *config.Route
	caller  *config.Caller
	grant   *config.Grant
	// ingress is the route from the request's authority and path to the service. It
	// is nil if the authority is the service's name, and always at a target-side
	// node.
	ingress *ingress.Route
}

// maxAttempts returns the maximum number of attempts for the call, at most limit.
func (rr *resolvedRequest) maxAttempts(limit int) int {
	if rr.ingress == nil {
		return limit
	}
	return min(limit, rr.ingress.Attempts)
}

// maxBodyBytes returns the maximum size of the request body, at most limit.
func (rr *resolvedRequest) maxBodyBytes(limit int64) int64 {
	if rr.ingress == nil || rr.ingress.MaxBodyBytes == 0 {
		return limit
	}
	return min(limit, rr.ingress.MaxBodyBytes)
}

// resolveRequest resolves the service, route, caller and grant of a caller's
// request. The reason is ReasonNone if the call is permitted. Otherwise the fields
// resolved so far are returned as well, for the call record.
func resolveRequest(s *config.Snapshot, splitter *ingress.Splitter, r *http.Request) (resolvedRequest, model.Reason) {
	var resolved resolvedRequest
	resolved.caller = s.Authenticate(credentialOf(r))
	if resolved.caller == nil {
		return resolved, model.ReasonUnauthenticated
	}
	resolved.service = s.Service(serviceName(r.Host))
	if resolved.service == nil {
		if reason := resolved.matchIngress(s, splitter, r); reason != model.ReasonNone {
			return resolved, reason
		}
	}
	return resolved.authorize(s, r.Method, r.URL.Path, r.URL.RawPath)
}

// matchIngress resolves the service of a request whose authority is not a service
// name.
func (rr *resolvedRequest) matchIngress(s *config.Snapshot, splitter *ingress.Splitter, r *http.Request) model.Reason {
	if s.Ingress() == nil {
		return model.ReasonNoService
	}
	if !isCanonicalPath(r.URL.Path, r.URL.RawPath) {
		return model.ReasonBadRequest
	}
	rr.ingress = s.Ingress().Match(r.Host, r.URL.Path)
	if rr.ingress == nil {
		return model.ReasonNoService
	}
	rr.service = s.Service(splitter.Choose(rr.ingress))
	return model.ReasonNone
}

// resolveHop is like resolveRequest for a call that an entry node has
// authenticated. s is the target-side node's own snapshot.
func resolveHop(s *config.Snapshot, h *hop, urlPath, rawPath string) (resolvedRequest, model.Reason) {
	var resolved resolvedRequest
	resolved.caller = s.Caller(h.Caller)
	if resolved.caller == nil {
		return resolved, model.ReasonNotPermitted
	}
	resolved.service = s.Service(h.Service)
	if resolved.service == nil {
		return resolved, model.ReasonNoService
	}
	return resolved.authorize(s, h.Method, urlPath, rawPath)
}

func (rr resolvedRequest) authorize(s *config.Snapshot, method, urlPath, rawPath string) (resolvedRequest, model.Reason) {
	if !isCanonicalPath(urlPath, rawPath) {
		return rr, model.ReasonBadRequest
	}
	rr.grant = s.Grant(rr.caller.Name, rr.service.Name)
	if rr.grant == nil {
		return rr, model.ReasonNotPermitted
	}
	rr.route = rr.service.Match(method, urlPath)
	if rr.route == nil {
		return rr, model.ReasonNoRoute
	}
	if !rr.grant.Permits(rr.route.Name) {
		return rr, model.ReasonNotPermitted
	}
	return rr, model.ReasonNone
}

func credentialOf(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// serviceName returns the service name in a Host header.
func serviceName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	}
	return strings.ToLower(name)
}

// isCanonicalPath reports whether all servers interpret the path alike: it is
// absolute and clean, and contains no backslash or NUL and no escaped slash, dot or
// percent sign.
func isCanonicalPath(urlPath, rawPath string) bool {
	if !strings.HasPrefix(urlPath, "/") || strings.ContainsAny(urlPath, "\\\x00%") {
		return false
	}
	if rawPath != "" && escapesSeparator(rawPath) {
		return false
	}
	clean := path.Clean(urlPath)
	return clean == urlPath || clean+"/" == urlPath
}

func escapesSeparator(rawPath string) bool {
	lower := strings.ToLower(rawPath)
	return strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%2e")
}

// callTimeout returns the timeout of a call: the minimum of the limits of the caller,
// the routes and the service. header is the caller's limit in milliseconds, empty if
// there is none; ok is false if it is invalid.
func (rr *resolvedRequest) callTimeout(header string) (d time.Duration, ok bool) {
	d = config.MaxDeadline
	limits := []time.Duration{rr.service.Deadline, rr.route.Deadline}
	if rr.ingress != nil {
		limits = append(limits, rr.ingress.Timeout)
	}
	for _, limit := range limits {
		if limit > 0 {
			d = min(d, limit)
		}
	}
	if header == "" {
		return d, true
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return min(d, time.Duration(min(ms, config.MaxDeadline.Milliseconds()))*time.Millisecond), true
}

// callDepth returns the depth of a call whose depth header has the given value, 1 if
// it is empty. ok is false if the value is invalid or reaches maxDepth.
func callDepth(header string) (depth int, ok bool) {
	if header == "" {
		return 1, true
	}
	n, err := strconv.Atoi(header)
	if err != nil || n < 0 || n >= maxDepth {
		return 0, false
	}
	return n + 1, true
}
