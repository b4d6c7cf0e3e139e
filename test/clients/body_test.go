package clients

import (
	"fmt"
	"strings"
	"testing"
)

// streamed is the length of a body that is passed on while it arrives.
const streamed = 300 << 10

// chunked returns the head of a request with a body in chunks, and the body in chunks of the given
// length without its end.
func chunked(bytes, chunkBytes int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("b", chunkBytes))
	return requestHead("POST", "/file/x", "Transfer-Encoding: chunked", "") + strings.Repeat(chunk, bytes/chunkBytes)
}

// Guards against clients whose bodies do not end: in their chunks, in their trailers, or short of their
// length.
func TestBodiesThatDoNotEndStayWithinTheMemoryOfTheHost(t *testing.T) {
	cases := map[string]crowd{
		"a body in one chunk":                {text: chunked(almostBuffered, almostBuffered)},
		"a body in large chunks":             {text: chunked(almostBuffered, 16<<10)},
		"a body in very small chunks":        {text: chunked(almostBuffered, 8)},
		"a body in chunks of one byte":       {text: chunked(1, 1), more: strings.Repeat("1\r\nb\r\n", 700)},
		"a body without its last byte":       {text: declared(almostBuffered, almostBuffered-1)},
		"a declared body of which none came": {text: declared(almostBuffered, 0)},
		"a streamed body in chunks":          {text: chunked(streamed, 16<<10)},
		"a streamed body with its length":    {text: declared(2*streamed, streamed)},
		"a body on a route that isn't there": {text: requestHead("POST", "/none/", "Transfer-Encoding: chunked", "") + "40000\r\n" + strings.Repeat("b", almostBuffered)},
		"a chunk size without end":           {text: chunked(almostBuffered, 16<<10), more: strings.Repeat("0", 4000)},
		"a chunk extension without end":      {text: chunked(almostBuffered, 16<<10) + "5;", more: strings.Repeat("e", 4000)},
		"a trailer without end":              {text: chunked(almostBuffered, 16<<10) + "0\r\n", more: "A: " + strings.Repeat("a", 100) + "\r\n"},
		"a trailer that stops":               {text: chunked(almostBuffered, 16<<10) + "0\r\nA: a"},
		"a body that waits to be asked for":  {text: requestHead("POST", "/file/x", "Expect: 100-continue", "Transfer-Encoding: chunked", "")},
	}
	runCrowds(t, cases)
}
