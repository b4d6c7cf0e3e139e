package httpserver

import (
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// BenchmarkIdleConnMemory reports the memory of a connection that has had one request, with
// this server and with that of net/http. It includes the caller's side, which is the same.
func BenchmarkIdleConnMemory(b *testing.B) {
	respond := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	servers := map[string]interface{ Serve(net.Listener) error }{
		"httpserver": New(testHandler(respond), testOptions()),
		"net/http":   &http.Server{Handler: http.HandlerFunc(respond)},
	}
	for name, s := range servers {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = listener.Close() }() // nothing depends on the result
			go func() { _ = s.Serve(listener) }()   // ends with the listener
			for b.Loop() {
				b.ReportMetric(memoryPerConn(b, listener.Addr().String()), "B/conn")
			}
		})
	}
}

// memoryPerConn opens connections, sends a request on each, and returns the bytes in use for
// each of them.
func memoryPerConn(b *testing.B, address string) float64 {
	const conns = 1000
	before := memoryInUse()
	open := make([]net.Conn, 0, conns)
	buffer := make([]byte, 1<<10)
	for range conns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		open = append(open, conn)
		if _, err := conn.Write([]byte(get("/"))); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond) // until the goroutines of the requests have ended
	used := memoryInUse() - before
	for _, conn := range open {
		_ = conn.Close() // the next measurement begins after a collection
	}
	return float64(used) / conns
}

// memoryInUse returns the bytes of the heap and of stacks that are in use after a collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
