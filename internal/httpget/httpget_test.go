package httpget

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestResponsesAreLimitedInTimeAndSize(t *testing.T) {
	const short, long = 300 * time.Millisecond, 10 * time.Second
	cases := map[string]struct {
		path   string
		limits Limits
		status int
		body   string
		fails  bool
	}{
		"within the limits":           {path: "/teapot", limits: Limits{HeaderTimeout: long, BodyTimeout: long, MaxBodyBytes: 100}, status: http.StatusTeapot, body: "answer"},
		"too large":                   {path: "/teapot", limits: Limits{HeaderTimeout: long, BodyTimeout: long, MaxBodyBytes: 3}, status: http.StatusTeapot, body: "ans"},
		"header timeout":              {path: "/silent", limits: Limits{HeaderTimeout: short, BodyTimeout: long, MaxBodyBytes: 100}, fails: true},
		"body timeout":                {path: "/stalled", limits: Limits{HeaderTimeout: long, BodyTimeout: short, MaxBodyBytes: 100}, fails: true},
		"header slower than the body": {path: "/late", limits: Limits{HeaderTimeout: long, BodyTimeout: short, MaxBodyBytes: 100}, status: http.StatusOK, body: "late"},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/teapot", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("answer"))
	})
	mux.HandleFunc("/silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	mux.HandleFunc("/stalled", func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("a"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	mux.HandleFunc("/late", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * short)
		_, _ = w.Write([]byte("late"))
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			target := &url.URL{Scheme: "http", Host: server.Listener.Addr().String(), Path: c.path}
			response, err := Get(t.Context(), server.Client(), target, c.limits)
			if c.fails {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Status).To(Equal(c.status))
			g.Expect(string(response.Body)).To(Equal(c.body))
		})
	}
}
