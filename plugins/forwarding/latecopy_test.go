package forwarding

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/model"
)

// copyDelay is the time after which a target sends its first answer a second time, while it
// works on the next request of the connection.
const copyDelay = 60 * time.Millisecond

// serveLateCopies answers the requests of a connection with their ID, and sends the answer to
// the first one twice.
func serveLateCopies(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(model.HeaderRequestID)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", model.HeaderRequestID, id, len(id), id)
		if number > 0 {
			time.Sleep(2 * copyDelay)
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if number == 0 {
			time.AfterFunc(copyDelay, func() { _, _ = io.WriteString(conn, answer) }) // the caller may have closed it
		}
	}
}

// callTarget makes a call and returns the body of its answer.
func callTarget(t *target, id string) (body string, dispatched bool, err error) {
	request, _ := http.NewRequest(http.MethodGet, "http://target"+pathCall+"/x", nil) // the URL is valid
	request.Header = http.Header{model.HeaderRequestID: {id}}
	in := &inbound{
		hop:             hop{Method: http.MethodGet, Service: "alpha"},
		request:         request,
		deadline:        time.Now().Add(time.Second),
		resolvedRequest: resolvedRequest{service: &config.Service{Connections: 4}, route: &config.Route{Idempotent: true}},
	}
	response, dispatched, err := t.call(context.Background(), in)
	if err != nil {
		return "", dispatched, err
	}
	defer func() { _ = response.Body.Close() }() // the body is read below
	data, err := io.ReadAll(response.Body)
	return string(data), dispatched, err
}

func TestLateCopyOfAnAnswerReachesNoOtherCaller(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }() // nothing depends on the result
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveLateCopies(conn)
		}
	}()
	var dialer net.Dialer
	target := newTarget(listener.Addr().String(), func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
	body, _, err := callTarget(target, "first")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("first"))
	time.Sleep(copyDelay / 2)
	body, dispatched, err := callTarget(target, "second")
	g.Expect(body).NotTo(Equal("first"))
	g.Expect(err).To(MatchError(errCrossedAnswer))
	g.Expect(dispatched).To(BeTrue(), "the target may have run the call")
	body, _, err = callTarget(target, "third")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("third"), "on a new connection")
}
