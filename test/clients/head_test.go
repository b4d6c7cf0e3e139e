package clients

import (
	"strings"
	"testing"
)

const (
	// almostHead and overHead are lengths of heads just below and far above the default limit, in
	// bytes.
	almostHead = 60 << 10
	overHead   = 1 << 20
)

// Guards against clients whose heads, or the lines before them, do not end or are too long.
func TestHeadsThatDoNotEndStayWithinTheMemoryOfTheHost(t *testing.T) {
	cases := map[string]crowd{
		"empty lines without end":           {text: "\r\n", more: strings.Repeat("\r\n", 2000)},
		"a request line without end":        {text: "GET /", more: strings.Repeat("a", 4000)},
		"a field without end":               {text: requestHead("GET", "/look/x") + "A: ", more: strings.Repeat("a", 4000)},
		"fields without end":                {text: requestHead("GET", "/look/x"), more: "Long-Field: " + strings.Repeat("a", 100) + "\r\n"},
		"a head over the limit":             {text: requestHead("GET", "/look/x", "A: "+strings.Repeat("a", overHead), "")},
		"one field just below the limit":    {text: requestHead("GET", "/look/x") + "A: " + strings.Repeat("a", almostHead)},
		"short fields just below the limit": {text: requestHead("GET", "/look/x") + shortFields(almostHead)},
	}
	runCrowds(t, cases)
}

// Guards against clients that send requests ahead of their answers.
func TestRequestsThatWaitForOthersStayWithinTheMemoryOfTheHost(t *testing.T) {
	const readAhead, pipelines = 32, 200
	head := requestHead("POST", "/file/x", "Content-Length: 0")
	cases := map[string]string{
		"behind answers that nobody reads": head + shortFields(almostHead) + "\r\n",
		"with long fields":                 head + "A: " + strings.Repeat("a", almostHead) + "\r\n\r\n",
		"of idempotent routes":             requestHead("GET", "/look/x") + shortFields(almostHead) + "\r\n",
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, almostBuffered)
			crowd{address: f.Hosts[0].Host.CallAddress, size: pipelines, text: strings.Repeat(request, 2*readAhead)}.gather(t)
			f.expectServing()
		})
	}
}
