package slo

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// Objective is the service-level objective that the owning team set. Latency is 0 if
// there is no latency objective.
type Objective struct {
	Availability float64       `json:"availability"`
	Latency      time.Duration `json:"latency_ns"`
	Place        finding.Place `json:"place"`
}

// Window holds the counts over the time span Length up to the report.
type Window struct {
	Name    string        `json:"name"`
	Length  time.Duration `json:"length_ns"`
	Callers Callers       `json:"callers"`
}

// Point holds the counts of one step of the timeline, which starts at From. All nodes
// start steps at multiples of the step's length, so that their points can be added.
type Point struct {
	From    time.Time `json:"from"`
	Callers Callers   `json:"callers"`
}

// NodeReport holds what one node counted for a service.
type NodeReport struct {
	Host      model.HostID  `json:"host"`
	Service   string        `json:"service"`
	Team      string        `json:"team"`
	Release   uint64        `json:"release"`
	At        time.Time     `json:"at"`
	Objective Objective     `json:"objective"`
	Windows   []Window      `json:"windows"`
	Step      time.Duration `json:"step_ns"`
	Timeline  []Point       `json:"timeline"`
	// Latency and ServiceTime are histograms in microseconds in the HdrHistogram
	// encoding; they are empty if nothing was recorded.
	Latency     string `json:"latency_histogram,omitempty"`
	ServiceTime string `json:"service_time_histogram,omitempty"`
	// Dropped counts the records that the node dropped since its start because its
	// buffer was full.
	Dropped int64 `json:"dropped_records"`
}

// WindowReport is a window summed up over all nodes and what used up its budget.
type WindowReport struct {
	Window
	Total       SideCounts  `json:"total"`
	Attribution Attribution `json:"verdict"`
}

// LatencyQuantiles holds quantiles of a histogram.
type LatencyQuantiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Report sums up the reports of nodes on a service.
type Report struct {
	Service   string         `json:"service"`
	Team      string         `json:"team"`
	Release   uint64         `json:"release"`
	At        time.Time      `json:"at"`
	Objective Objective      `json:"objective"`
	Nodes     []model.HostID `json:"nodes"`
	// Missing names the nodes that did not respond, with the error.
	Missing []string       `json:"missing"`
	Windows []WindowReport `json:"windows"`
	// BudgetUsed is the used fraction of the longest window's error budget, which
	// equals the burn rate of that window.
	BudgetUsed  float64          `json:"budget_used"`
	Step        time.Duration    `json:"step_ns"`
	Timeline    []Point          `json:"timeline"`
	Latency     LatencyQuantiles `json:"latency"`
	ServiceTime LatencyQuantiles `json:"service_time"`
	Dropped     int64            `json:"dropped_records"`
}

// Merge sums up the reports of nodes on one service. Release, objective and team are
// those of the newest release. It fails if there is no report or a histogram cannot be
// decoded.
func Merge(nodes []NodeReport) (*Report, error) {
	if len(nodes) == 0 {
		return nil, errors.New("no node has reported")
	}
	r := &Report{Missing: []string{}}
	latency, serviceTime := newHistogram(), newHistogram()
	for i := range nodes {
		n := &nodes[i]
		r.addMetadata(n)
		r.addWindows(n)
		r.addTimeline(n)
		if err := mergeInto(latency, n.Latency); err != nil {
			return nil, errors.Wrapf(err, "latency of node %s", n.Host)
		}
		if err := mergeInto(serviceTime, n.ServiceTime); err != nil {
			return nil, errors.Wrapf(err, "service time of node %s", n.Host)
		}
	}
	slices.Sort(r.Nodes)
	r.attributeWindows()
	r.Latency, r.ServiceTime = quantiles(latency), quantiles(serviceTime)
	return r, nil
}

func (r *Report) addMetadata(n *NodeReport) {
	r.Nodes = append(r.Nodes, n.Host)
	r.Dropped += n.Dropped
	r.Service = n.Service
	if n.At.After(r.At) {
		r.At = n.At
	}
	if n.Release >= r.Release {
		r.Release, r.Objective, r.Team = n.Release, n.Objective, n.Team
	}
}

func (r *Report) addWindows(n *NodeReport) {
	for _, w := range n.Windows {
		i := slices.IndexFunc(r.Windows, func(o WindowReport) bool { return o.Length == w.Length })
		if i < 0 {
			i = len(r.Windows)
			r.Windows = append(r.Windows, WindowReport{Window: Window{Name: w.Name, Length: w.Length, Callers: Callers{}}})
		}
		for name, sides := range w.Callers {
			r.Windows[i].Callers.Add(name, sides)
		}
	}
}

// addTimeline adds the points of a node. The timeline leaves out nodes whose step
// differs from that of the first node; their windows still count.
func (r *Report) addTimeline(n *NodeReport) {
	if r.Step == 0 {
		r.Step = n.Step
	}
	if n.Step != r.Step {
		return
	}
	for _, p := range n.Timeline {
		at, found := slices.BinarySearchFunc(r.Timeline, p.From, func(q Point, from time.Time) int { return q.From.Compare(from) })
		if !found {
			r.Timeline = slices.Insert(r.Timeline, at, Point{From: p.From, Callers: Callers{}})
		}
		for name, sides := range p.Callers {
			r.Timeline[at].Callers.Add(name, sides)
		}
	}
}

// attributeWindows sorts the windows by length and attributes the burn of each.
func (r *Report) attributeWindows() {
	slices.SortFunc(r.Windows, func(a, b WindowReport) int { return int(a.Length - b.Length) })
	for i := range r.Windows {
		w := &r.Windows[i]
		w.Total = w.Callers.Total()
		w.Attribution = Attribute(w.Callers, r.Objective.Availability)
		r.BudgetUsed = w.Attribution.BurnRate
	}
}

// Worst returns the window with the highest burn rate, nil if there is none.
func (r *Report) Worst() *WindowReport {
	var worst *WindowReport
	for i := range r.Windows {
		if worst == nil || r.Windows[i].Attribution.BurnRate > worst.Attribution.BurnRate {
			worst = &r.Windows[i]
		}
	}
	return worst
}

const (
	// budgetPeriod is the period that an error budget usually covers.
	budgetPeriod = 30 * 24 * time.Hour

	// The range of the histograms is in microseconds, their precision in
	// significant decimal digits.
	histogramLowest  = 10
	histogramHighest = 60 * 1000 * 1000
	histogramDigits  = 2
)

// TimeToExhaustion returns the time after which a full error budget of 30 days is used up
// at a burn rate, 0 if the rate does not exceed the budget.
func TimeToExhaustion(burnRate float64) time.Duration {
	if burnRate <= 1 {
		return 0
	}
	return time.Duration(float64(budgetPeriod) / min(burnRate, math.MaxInt32))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

// NewHistogram returns an empty histogram of microseconds for RecordDuration and
// EncodeHistogram.
func NewHistogram() *hdrhistogram.Histogram { return newHistogram() }

// RecordDuration adds a duration, clamped to the range from 0 to one minute.
func RecordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), 0), histogramHighest)
	_ = h.RecordValue(micros) // the value is within the range
}

// EncodeHistogram returns the text form of a histogram, empty if nothing was
// recorded.
func EncodeHistogram(h *hdrhistogram.Histogram) (string, error) {
	if h.TotalCount() == 0 {
		return "", nil
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return string(data), errors.Wrap(err, "encode histogram")
}

func mergeInto(sum *hdrhistogram.Histogram, text string) error {
	if text == "" {
		return nil
	}
	h, err := hdrhistogram.Decode([]byte(text))
	if err != nil {
		return errors.Wrap(err, "decode histogram")
	}
	sum.Merge(h)
	return nil
}

func quantiles(h *hdrhistogram.Histogram) LatencyQuantiles {
	at := func(p float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
	}
	return LatencyQuantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   time.Duration(h.Max()) * time.Microsecond,
	}
}
