package burnpage

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/bronzemast/bronzemast/plugins/burn/slo"
	"github.com/pkg/errors"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"burn":       burnText,
	"exhaustion": exhaustionText,
	"part":       percentText,
	"printable":  displayName,
	"seen":       objectiveCounts,
	"objective":  objectiveText,
}).Parse(pageText))

// pageData is what the template shows.
type pageData struct {
	*slo.Report
	Time    string
	Worst   *slo.WindowReport
	Tables  []windowRows
	Times   []latencyRow
	Figures []template.HTML
}

// windowRows is the table of callers of one window.
type windowRows struct {
	Window *slo.WindowReport
	Rows   []callerRow
}

// HTML writes the report as a self-contained HTML page with its plots embedded.
func HTML(w io.Writer, r *slo.Report) error {
	data := pageData{
		Report: r,
		Time:   r.At.Format(time.RFC3339),
		Worst:  r.Worst(),
		Times:  latencyRows(r),
	}
	for i := range r.Windows {
		data.Tables = append(data.Tables, windowRows{Window: &r.Windows[i], Rows: rowsOf(&r.Windows[i])})
	}
	plots, err := plotsOf(r)
	if err != nil {
		return err
	}
	for _, p := range plots {
		svg, err := render(p, "svg")
		if err != nil {
			return err
		}
		data.Figures = append(data.Figures, stripProlog(svg))
	}
	return errors.Wrap(pageTemplate.Execute(w, data), "write page")
}

// stripProlog removes the XML declaration and document type before the svg element,
// which must not occur inside an HTML page. The plot library escapes the text in its
// drawings.
func stripProlog(svg []byte) template.HTML {
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:]
	}
	return template.HTML(svg)
}
