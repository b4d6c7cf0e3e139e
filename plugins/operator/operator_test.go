package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func newNode(t *testing.T, section string, options ...kernel.Option) (*kernel.Kernel, *event.Log, error) {
	t.Helper()
	log := event.NewDiscardLog()
	settings := &kernel.Settings{
		Fleet:   "test",
		Host:    model.Host{ID: "h1", Region: "r", Domain: "d"},
		Plugins: map[string]*kernel.Section{"operator": kernel.NewSection(section)},
	}
	k, err := kernel.New(settings, log, options...)
	return k, log, err
}

func startNode(t *testing.T, add func(mux model.OperatorMux, ready model.Readiness), options ...kernel.Option) (string, *event.Log) {
	t.Helper()
	g := NewWithT(t)
	k, log, err := newNode(t, `{"address": "127.0.0.1:0", "events": 3}`, options...)
	g.Expect(err).NotTo(HaveOccurred())
	mux, ok := kernel.Value[model.OperatorMux](k)
	g.Expect(ok).To(BeTrue())
	ready, ok := kernel.Value[model.Readiness](k)
	g.Expect(ok).To(BeTrue())
	if add != nil {
		add(mux, ready)
	}
	g.Expect(k.Start(t.Context())).To(Succeed())
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return "http://" + mux.Address(), log
}

// get requests url, decodes the JSON body into dst and returns the status.
func get(t *testing.T, url string, dst any) int {
	t.Helper()
	g := NewWithT(t)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(json.NewDecoder(response.Body).Decode(dst)).To(Succeed())
	return response.StatusCode
}

func TestPluginPagesAreServed(t *testing.T) {
	g := NewWithT(t)
	base, _ := startNode(t, func(mux model.OperatorMux, _ model.Readiness) {
		mux.Handle("/v1/thing", func(r *http.Request) (any, error) {
			return map[string]string{"name": r.URL.Query().Get("name")}, nil
		})
		mux.Handle("/v1/absent", func(*http.Request) (any, error) {
			return nil, &model.PageError{Status: http.StatusNotFound, Message: "no such thing"}
		})
		mux.Handle("/v1/broken", func(*http.Request) (any, error) {
			return nil, errors.New("broken")
		})
		mux.HandleRaw("/v1/post", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			writeJSON(w, http.StatusOK, r.Method)
		}))
	})
	var thing map[string]string
	g.Expect(get(t, base+"/v1/thing?name=x", &thing)).To(Equal(200))
	g.Expect(thing).To(HaveKeyWithValue("name", "x"))
	var failure errorBody
	g.Expect(get(t, base+"/v1/absent", &failure)).To(Equal(404))
	g.Expect(failure.Error).To(Equal("no such thing"))
	g.Expect(get(t, base+"/v1/broken", &failure)).To(Equal(500))
	var method string
	g.Expect(get(t, base+"/v1/post", &method)).To(Equal(200))
	g.Expect(method).To(Equal("GET"))
	response, err := http.Post(base+"/v1/thing", "", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	g.Expect(response.StatusCode).To(BeElementOf(404, 405))
}

func TestDebugVarsContainPluginMetrics(t *testing.T) {
	g := NewWithT(t)
	base, _ := startNode(t, nil)
	var vars struct {
		Host    string                     `json:"host"`
		Plugins map[string]map[string]any  `json:"plugins"`
		Memory  struct{ HeapAlloc uint64 } `json:"memstats"`
	}
	g.Expect(get(t, base+"/debug/vars", &vars)).To(Equal(200))
	g.Expect(vars.Host).To(Equal("h1"))
	g.Expect(vars.Plugins["operator"]).To(HaveKeyWithValue("requests", BeNumerically("==", 1)))
	g.Expect(vars.Memory.HeapAlloc).To(BeNumerically(">", 0))
}

func TestReadyOnlyWhileAllChecksPass(t *testing.T) {
	g := NewWithT(t)
	var cause error = errors.New("not settled")
	base, _ := startNode(t, func(_ model.OperatorMux, ready model.Readiness) {
		ready.Require("configuration", func() error { return cause })
		ready.Require("drain", func() error { return nil })
	})
	var r readiness
	g.Expect(get(t, base+"/readyz", &r)).To(Equal(503))
	g.Expect(r.Waiting).To(Equal(map[string]string{"configuration": "not settled"}))
	cause = nil
	r = readiness{}
	g.Expect(get(t, base+"/readyz", &r)).To(Equal(200))
	g.Expect(r.Ready).To(BeTrue())
	var h health
	g.Expect(get(t, base+"/healthz", &h)).To(Equal(200))
}

func TestBuiltinReadinessChecks(t *testing.T) {
	g := NewWithT(t)
	g.Expect(checkSettled(model.ConfigurationStatus{Release: 3})).To(MatchError(ContainSubstring("not settled")))
	g.Expect(checkSettled(model.ConfigurationStatus{Settled: true})).To(MatchError(ContainSubstring("no release")))
	g.Expect(checkSettled(model.ConfigurationStatus{Settled: true, Release: 3})).To(Succeed())
	g.Expect(checkServing(model.StageServing)).To(Succeed())
	g.Expect(checkServing(model.StageRefusing)).To(MatchError(ContainSubstring("refusing")))
}

// nodeState provides the configuration and the fleet that the pages show.
type nodeState struct{ model.Configuration }

// fleet holds one suspected host.
type fleet struct{ model.Fleet }

func (s nodeState) Status() model.ConfigurationStatus {
	return model.ConfigurationStatus{Release: 4, Settled: true, Via: "source"}
}

func (s nodeState) Current() *config.Snapshot {
	snapshot, err := config.NewSnapshot(config.SnapshotContents{
		Number:   4,
		Services: []*config.Service{{Name: "records", Slots: 2, Routes: []*config.Route{{Name: "read", PathPrefix: "/"}}}},
		Callers:  []*config.Caller{{Name: "desk", Credentials: []config.Digest{config.DigestOf([]byte("secret"))}}},
		Grants:   []*config.Grant{{Caller: "desk", Service: "records", Rate: 5}},
	})
	if err != nil {
		panic(err)
	}
	return snapshot
}

func (fleet) View() *model.View {
	return model.NewView(9, []model.Member{{Host: model.Host{ID: "h1"}, State: model.MemberSuspected, Incarnation: 255}})
}

func (s nodeState) Provision(ctx *kernel.Context) error {
	kernel.Provide[model.Configuration](ctx, s)
	kernel.Provide[model.Fleet](ctx, fleet{})
	return nil
}

// absent is a plug-in that provides nothing.
type absent struct{}

func (absent) Provision(*kernel.Context) error { return nil }

func init() {
	kernel.Register(kernel.Registration{Name: "state", New: func() kernel.Plugin { return absent{} }})
}

func TestNodeStatePages(t *testing.T) {
	g := NewWithT(t)
	base, _ := startNode(t, nil, kernel.WithPlugin("state", func() kernel.Plugin { return nodeState{} }))
	var status model.NodeStatus
	g.Expect(get(t, base+"/v1/status", &status)).To(Equal(200))
	g.Expect(status.Host).To(Equal(model.HostID("h1")))
	g.Expect(status.Release).To(Equal(uint64(4)))
	g.Expect(status.Stage).To(Equal("serving"))
	var m members
	g.Expect(get(t, base+"/v1/members", &m)).To(Equal(200))
	g.Expect(m.Members[0].State).To(Equal("suspected"))
	g.Expect(m.Members[0].Incarnation).To(Equal("ff"))
	var raw json.RawMessage
	g.Expect(get(t, base+"/v1/snapshot", &raw)).To(Equal(200))
	var s snapshotStatus
	g.Expect(json.Unmarshal(raw, &s)).To(Succeed())
	g.Expect(s.Grants).To(ConsistOf(grantStatus{Caller: "desk", Service: "records", Rate: 5}))
	g.Expect(s.Services[0].Routes).To(HaveLen(1))
	g.Expect(string(raw)).NotTo(ContainSubstring(config.DigestOf([]byte("secret")).String()))
	var r readiness
	g.Expect(get(t, base+"/readyz", &r)).To(Equal(200))
}

func TestNodeStatePagesWithoutProviders(t *testing.T) {
	g := NewWithT(t)
	base, _ := startNode(t, nil)
	var failure errorBody
	for _, path := range []string{"/v1/status", "/v1/members", "/v1/snapshot"} {
		g.Expect(get(t, base+path, &failure)).To(Equal(404))
	}
}

func TestEventsPageReturnsNewest(t *testing.T) {
	g := NewWithT(t)
	base, log := startNode(t, nil)
	for i := range 5 {
		log.Emit(eventServeFailed, event.Fields{"error": "e" + strconv.Itoa(i)})
	}
	var events []loggedEvent
	g.Expect(get(t, base+"/v1/events", &events)).To(Equal(200))
	g.Expect(events).To(HaveLen(3))
	g.Expect(events[0].Fields).To(HaveKeyWithValue("error", "e2"))
	g.Expect(events[2].Number).To(Equal(1901))
	g.Expect(get(t, base+"/v1/events?limit=1", &events)).To(Equal(200))
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].Fields).To(HaveKeyWithValue("error", "e4"))
	var failure errorBody
	g.Expect(get(t, base+"/v1/events?limit=x", &failure)).To(Equal(400))
}

func TestValidateSettings(t *testing.T) {
	g := NewWithT(t)
	_, _, err := newNode(t, `{"address": "10.1.2.3:70", "events": 0}`)
	g.Expect(err).To(MatchError(And(ContainSubstring("not a loopback address"), ContainSubstring("must be from 1"))))
	_, _, err = newNode(t, `{"address": "here", "colour": 1}`)
	g.Expect(err).To(MatchError(And(ContainSubstring("not an IP address and port"), ContainSubstring("unknown key"))))
	_, _, err = newNode(t, `{"address": "10.1.2.3:70", "allow_remote": true}`)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestStopLeavesNoGoroutine(t *testing.T) {
	g := NewWithT(t)
	before := goleak.IgnoreCurrent()
	k, _, err := newNode(t, `{"address": "127.0.0.1:0"}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(k.Start(t.Context())).To(Succeed())
	mux, _ := kernel.Value[model.OperatorMux](k)
	var h health
	g.Expect(get(t, "http://"+mux.Address()+"/healthz", &h)).To(Equal(200))
	g.Expect(k.Stop(context.Background())).To(Succeed())
	goleak.VerifyNone(t, before)
}
