package source_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/standin/platform"
)

// replaceablePlatform serves one of several platforms at an address.
type replaceablePlatform struct {
	current atomic.Pointer[platform.Server]
}

// ServeHTTP implements http.Handler.
func (p *replaceablePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.current.Load().ServeHTTP(w, r)
}

// A platform that is restored from an older copy shows older releases, and newer ones at
// revisions that it had assigned before.
func TestReleasesAfterARestoreOfThePlatformAreFollowed(t *testing.T) {
	g := NewWithT(t)
	var p replaceablePlatform
	first := platform.NewAtRevision(1000)
	first.PutRelease(newRelease(g, 1))
	putHosts(g, first, 1)
	p.current.Store(first)
	listener := httptest.NewServer(&p)
	t.Cleanup(func() {
		listener.CloseClientConnections() // watches may still wait
		listener.Close()
	})
	_, _, numbers := startFollowing(t, g, listener.URL)
	for n := uint64(2); n <= 3; n++ {
		first.PutRelease(newRelease(g, n))
		g.Eventually(numbers, eventualTimeout).Should(Receive(Equal(n)))
	}
	for restored := uint64(2); restored <= 3; restored++ {
		older := platform.NewAtRevision(100)
		older.PutRelease(newRelease(g, restored))
		putHosts(g, older, 1)
		p.current.Store(older)
		listener.CloseClientConnections()
		g.Consistently(numbers, time.Second).ShouldNot(Receive(BeNumerically("<", 3)))
		if restored < 3 {
			older.PutRelease(newRelease(g, 3)) // the operator publishes it again
			g.Consistently(numbers, time.Second).ShouldNot(Receive(BeNumerically("<", 3)))
		}
		next := 3 + restored
		older.PutRelease(newRelease(g, next))
		g.Eventually(numbers, 5*time.Second).Should(Receive(Equal(next)), "restored with release %d", restored)
		first.PutRelease(newRelease(g, next))
		p.current.Store(first)
		listener.CloseClientConnections()
	}
}
