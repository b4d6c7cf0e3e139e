package burnpage

import (
	"bytes"
	"cmp"
	"image/color"
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/plugins/burn/slo"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the format svg
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// maxPlotCallers bounds the number of callers that a plot shows.
	maxPlotCallers = 6
	// headroom scales the y axis to leave space for the legend above the data.
	headroom = 1.25
	// sustainableBurn is the burn rate that uses up exactly the budget.
	sustainableBurn = 1
)

// palette holds the colours of Okabe and Ito, which can be told apart with impaired
// colour vision.
var palette = []color.RGBA{
	{R: 0, G: 114, B: 178, A: 255},
	{R: 213, G: 94, B: 0, A: 255},
	{R: 0, G: 158, B: 115, A: 255},
	{R: 204, G: 121, B: 167, A: 255},
	{R: 230, G: 159, B: 0, A: 255},
	{R: 86, G: 180, B: 233, A: 255},
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

// render returns a plot in a format whose package is imported, such as "svg".
func render(p *plot.Plot, format string) ([]byte, error) {
	to, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return nil, errors.Wrap(err, "draw plot")
	}
	var b bytes.Buffer
	_, err = to.WriteTo(&b)
	return b.Bytes(), errors.Wrap(err, "draw plot")
}

// relativeMinutes returns the middle of a step in minutes relative to now, which is
// negative for past steps.
func relativeMinutes(from, now time.Time, step time.Duration) float64 {
	return from.Add(step / 2).Sub(now).Minutes()
}

// burnPlot draws the burn rate of each step of the timeline.
func burnPlot(r *slo.Report) (*plot.Plot, error) {
	p := newPlot("Burn rate of the error budget", "minutes relative to the report", "burn rate (1 uses up exactly the budget)")
	points := make(plotter.XYs, 0, len(r.Timeline))
	for _, at := range r.Timeline {
		points = append(points, plotter.XY{
			X: relativeMinutes(at.From, r.At, r.Step),
			Y: min(slo.BurnRate(objectiveCounts(at.Callers.Total()), r.Objective.Availability), maxPlottedBurn),
		})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, errors.Wrap(err, "burn plot")
	}
	line.StepStyle = plotter.MidStep
	line.Width = vg.Points(2)
	line.Color = palette[1]
	p.Add(line, horizontalLine(sustainableBurn))
	p.Legend.Add("burn rate", line)
	p.Y.Max = max(p.Y.Max, 2*sustainableBurn) * headroom
	return p, nil
}

// maxPlottedBurn bounds the plotted burn rate, which is math.MaxFloat64 without a budget.
const maxPlottedBurn = 1e6

// horizontalLine returns a dashed horizontal line at y.
func horizontalLine(y float64) *plotter.Function {
	f := plotter.NewFunction(func(float64) float64 { return y })
	f.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	f.Color = color.Gray{Y: 90}
	return f
}

// busiestCallers returns the callers with the most offered calls over the timeline.
func busiestCallers(r *slo.Report) []string {
	total := slo.Callers{}
	for _, p := range r.Timeline {
		for name, sides := range p.Callers {
			total.Add(name, sides)
		}
	}
	names := make([]string, 0, len(total))
	for name := range total {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(objectiveCounts(total[b]).Offered, objectiveCounts(total[a]).Offered), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxPlotCallers)]
}

// offeredPlot draws the rate of calls that the busiest callers offered.
func offeredPlot(r *slo.Report) (*plot.Plot, error) {
	p := newPlot("Calls offered by caller", "minutes relative to the report", "calls per second")
	for i, name := range busiestCallers(r) {
		points := make(plotter.XYs, 0, len(r.Timeline))
		for _, at := range r.Timeline {
			points = append(points, plotter.XY{
				X: relativeMinutes(at.From, r.At, r.Step),
				Y: float64(objectiveCounts(at.Callers[name]).Offered) / r.Step.Seconds(),
			})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, "offered calls plot")
		}
		line.StepStyle = plotter.MidStep
		line.Width = vg.Points(1.5)
		line.Color = palette[i%len(palette)]
		p.Add(line)
		p.Legend.Add(displayName(name), line)
	}
	p.Y.Max *= headroom
	return p, nil
}

// barSeries is one series of bars: a value for each caller of a plot.
type barSeries struct {
	label string
	value func(callerRow) uint64
}

// callersPlot draws the counts of calls by result for each caller in a window.
func callersPlot(w *slo.WindowReport) (*plot.Plot, error) {
	p := newPlot("Callers over "+w.Length.String(), "", "calls")
	p.Legend.Left = false
	rows := rowsOf(w)
	rows = rows[:min(len(rows), maxPlotCallers)]
	series := []barSeries{
		{"offered", func(r callerRow) uint64 { return r.Offered }},
		{"admitted", func(r callerRow) uint64 { return r.Admitted }},
		{"shed", func(r callerRow) uint64 { return r.Shed }},
		{"over share", func(r callerRow) uint64 { return r.OverShare }},
	}
	width := vg.Points(14)
	for i, s := range series {
		values := make(plotter.Values, len(rows))
		for j, row := range rows {
			values[j] = float64(s.value(row))
		}
		chart, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, errors.Wrap(err, "callers plot")
		}
		chart.Color = palette[i]
		chart.LineStyle.Width = 0
		chart.Offset = vg.Length(float64(i)-1.5) * width
		p.Add(chart)
		p.Legend.Add(s.label, chart)
	}
	names := make([]string, len(rows))
	for i, row := range rows {
		names[i] = displayName(row.Name)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(rows))-0.5
	p.Y.Max *= headroom
	return p, nil
}

// plotsOf returns the plots of a report that have data.
func plotsOf(r *slo.Report) ([]*plot.Plot, error) {
	var plots []*plot.Plot
	add := func(p *plot.Plot, err error) error {
		plots = append(plots, p)
		return err
	}
	if len(r.Timeline) > 0 {
		if err := add(burnPlot(r)); err != nil {
			return nil, err
		}
		if err := add(offeredPlot(r)); err != nil {
			return nil, err
		}
	}
	if worst := r.Worst(); worst != nil && len(worst.Callers) > 0 {
		if err := add(callersPlot(worst)); err != nil {
			return nil, err
		}
	}
	return plots, nil
}
