// Package httpserver serves HTTP/1.1 connections and handles pipelined requests concurrently.
//
// The server of net/http reads the next request of a connection only after it has answered
// the previous one, so a caller that sends several requests in a row waits for the sum of
// their times. This server reads ahead and handles those requests concurrently that the
// handler declares safe for it. Responses are written in the order of the requests. Requests
// are parsed by net/http (http.ReadRequest).
//
// A request behind one that is not concurrent, that has a body or asks for an upgrade is not
// begun before that one has been answered. Behind a response that closes the connection none
// is begun, so a caller may send those again whatever their method.
package httpserver
