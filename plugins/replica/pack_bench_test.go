package replica

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/bronzemast/bronzemast/model"
)

// benchmarkRoutes is the number of routes of the benchmark's document.
const benchmarkRoutes = 1600

// routesDocument returns a document in which the first route has the given timeout and
// all others 1000ms.
func routesDocument(timeout string) []byte {
	var b bytes.Buffer
	for i := range benchmarkRoutes {
		if i > 0 {
			timeout = "1000ms"
		}
		fmt.Fprintf(&b, `{"name":"r-%x","host":"a.example","prefix":"/%x/","kind":"safe","timeout":%q,"service":"alpha"},`, i*7919, i*104729, timeout)
	}
	return b.Bytes()
}

func BenchmarkPack(b *testing.B) {
	base := model.Item{Key: "doc", Position: at(1), Data: routesDocument("1000ms")}
	next := model.Item{Key: "doc", Position: at(2), Data: routesDocument("900ms")}
	b.SetBytes(int64(len(next.Data)))
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		var p packer
		size = len(p.pack(outgoingItem{item: next, base: base}).Data)
	}
	b.ReportMetric(float64(size), "packed-bytes")
}
