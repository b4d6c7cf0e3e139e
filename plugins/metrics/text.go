package metrics

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/bronzemast/bronzemast/model"
)

// prefix is the first part of every metric name.
const prefix = "bronzemast_"

// write writes the metrics of all plug-ins in the text format of Prometheus. Numbers
// are written as they are, maps computed or not, with their key as the label "kind", and latencies as
// summaries in seconds. Metrics of other types are omitted.
func write(out io.Writer, all *expvar.Map) error {
	w := bufio.NewWriter(out)
	all.Do(func(plugin expvar.KeyValue) {
		metrics, ok := plugin.Value.(*expvar.Map)
		if !ok {
			return
		}
		metrics.Do(func(metric expvar.KeyValue) {
			writeMetric(w, prefix+plugin.Key+"_"+metric.Key, metric.Value)
		})
	})
	return w.Flush()
}

func writeMetric(w io.Writer, name string, value expvar.Var) {
	switch v := value.(type) {
	case *expvar.Map:
		v.Do(func(kind expvar.KeyValue) {
			fmt.Fprintf(w, "%s{kind=%q} %s\n", name, kind.Key, kind.Value.String())
		})
	case expvar.Func:
		writeFunc(w, name, v)
	case model.Latency:
		for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
			fmt.Fprintf(w, "%s_seconds{quantile=%q} %g\n", name, strconv.FormatFloat(q, 'f', -1, 64), v.Quantile(q).Seconds())
		}
		fmt.Fprintf(w, "%s_seconds_sum %g\n%s_seconds_count %d\n", name, v.Sum().Seconds(), name, v.Count())
	default:
		writeNumber(w, name, value)
	}
}

// writeFunc writes a computed metric: a number, or numbers by key like a map.
func writeFunc(w io.Writer, name string, f expvar.Func) {
	values, ok := f.Value().(map[string]float64)
	if !ok {
		writeNumber(w, name, f)
		return
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(w, "%s{kind=%q} %g\n", name, key, values[key])
	}
}

func writeNumber(w io.Writer, name string, value expvar.Var) {
	if text := value.String(); isNumber(text) {
		fmt.Fprintf(w, "%s %s\n", name, text)
	}
}

func isNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
}
