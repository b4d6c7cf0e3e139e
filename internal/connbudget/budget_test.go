package connbudget

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	eventualTimeout = 10 * time.Second
	quietTime       = 50 * time.Millisecond
	muchMemory      = 1 << 30
)

// testListener accepts the connections of a budgeted listener.
type testListener struct {
	t        *testing.T
	address  string
	accepted chan *Conn
}

func listen(t *testing.T, b *Budget, maxConns int) *testListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &testListener{t: t, address: inner.Addr().String(), accepted: make(chan *Conn, 10)}
	listener := b.Listen(inner, maxConns)
	t.Cleanup(func() { _ = listener.Close() }) // nothing depends on the result
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.accepted <- conn.(*Conn)
		}
	}()
	return l
}

func (l *testListener) dial() net.Conn {
	l.t.Helper()
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	return conn
}

// connect returns both ends of a new connection.
func (l *testListener) connect() (client net.Conn, server *Conn) {
	l.t.Helper()
	client = l.dial()
	select {
	case server = <-l.accepted:
	case <-time.After(eventualTimeout):
		l.t.Fatal("the connection was not accepted")
	}
	return client, server
}

// isClosed reports whether the other end has closed a connection.
func isClosed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now().Add(quietTime)) // the read fails if the connection is closed
	_, err := client.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return err != nil && !(ok && netErr.Timeout())
}

func TestConnectionsAboveTheLimitTakeThePlaceOfTheOneThatWaitsLongest(t *testing.T) {
	g := NewWithT(t)
	l := listen(t, New(muchMemory), 3)
	busy, busyServer := l.connect()
	oldest, _ := l.connect()
	later, _ := l.connect()
	busyServer.Resume() // its request is being handled
	latest, _ := l.connect()
	g.Expect(isClosed(oldest)).To(BeTrue())
	for _, open := range []net.Conn{busy, later, latest} {
		g.Expect(isClosed(open)).To(BeFalse())
	}
}

func TestConnectionsAboveTheLimitWaitWhileAllAreInUse(t *testing.T) {
	for name, makeRoom := range map[string]func(*Conn){
		"until one is closed": func(c *Conn) { _ = c.Close() },
		"until one is idle":   (*Conn).Wait,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := listen(t, New(muchMemory), 1)
			_, first := l.connect()
			first.Resume()
			l.dial()
			g.Consistently(l.accepted, quietTime).ShouldNot(Receive())
			makeRoom(first)
			g.Eventually(l.accepted, eventualTimeout).Should(Receive())
		})
	}
}

func TestMemoryIsTakenFromTheRequestThatWaitsLongest(t *testing.T) {
	g := NewWithT(t)
	b := New(6 * connBytes)
	l := listen(t, b, 10)
	idle, _ := l.connect()
	slow, slowServer := l.connect()
	g.Expect(slowServer.NewReservation().Grow(2 * connBytes)).To(BeTrue())
	ordinary, ordinaryServer := l.connect()
	ordinaryServer.Resume()
	reservation := ordinaryServer.NewReservation()
	g.Expect(reservation.Grow(2 * connBytes)).To(BeTrue())
	g.Expect(isClosed(slow)).To(BeTrue())
	g.Expect(isClosed(idle)).To(BeFalse())
	g.Expect(isClosed(ordinary)).To(BeFalse())
	g.Expect(b.Stats()).To(Equal(Stats{Conns: 2, Bytes: 4 * connBytes, Closed: 1}))
	reservation.Release()
	g.Expect(b.Stats().Bytes).To(Equal(int64(2 * connBytes)))
}

func TestRequestsAreRefusedIfNobodyCanBeClosed(t *testing.T) {
	g := NewWithT(t)
	b := New(3 * connBytes)
	l := listen(t, b, 10)
	_, first := l.connect()
	first.Resume()
	_, second := l.connect()
	second.Resume()
	held := first.NewReservation()
	g.Expect(held.Grow(connBytes)).To(BeTrue())
	g.Expect(second.NewReservation().Grow(1)).To(BeFalse())
	second.NewReservation().Charge(connBytes) // of an answer, which is kept all the same
	g.Expect(b.Stats()).To(Equal(Stats{Conns: 2, Bytes: 4 * connBytes, Refused: 1}))
	g.Expect(second.Close()).To(Succeed())
	g.Expect(first.Close()).To(Succeed())
	held.Release()
	g.Expect(b.Stats().Bytes).To(BeZero())
}

func TestConnectionsOfAServerWaitBetweenTheirRequests(t *testing.T) {
	g := NewWithT(t)
	b := New(muchMemory)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	answer := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		g.Expect(FromContext(r.Context()).Grow(1)).To(BeTrue())
		<-answer
	})}
	Track(server)
	go func() { _ = server.Serve(b.Listen(inner, 1)) }() // ends with the server
	defer func() { _ = server.Close() }()                // nothing depends on the result
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
		return conn
	}
	first := dial()
	_, err = first.Write([]byte("GET / HTTP/1.1\r\nHost: node\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() int64 { return b.Stats().Bytes }, eventualTimeout).Should(BeNumerically(">", connBytes))
	dial()
	g.Consistently(func() int64 { return b.Stats().Closed }, quietTime).Should(BeZero(), "its request is being handled")
	close(answer)
	g.Eventually(func() int64 { return b.Stats().Closed }, eventualTimeout).Should(Equal(int64(1)))
	g.Expect(b.Stats()).To(Equal(Stats{Conns: 1, Bytes: connBytes, Closed: 1}))
}
