package clients

import (
	"strings"
	"testing"
)

// Guards against clients that do not read their answers.
func TestAnswersThatNobodyReadsStayWithinTheMemoryOfTheHost(t *testing.T) {
	const requests = 64
	for name, answerBytes := range map[string]int{
		"kept in memory": almostBuffered,
		"streamed":       8 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, answerBytes)
			text := strings.Repeat(requestHead("GET", "/look/x", ""), requests)
			crowd{address: f.Hosts[0].Host.CallAddress, size: crowdSize, text: text}.gather(t)
			f.setAnswerBytes(0)
			f.expectServing()
		})
	}
}

// setAnswerBytes changes the length of the answers of all workers.
func (f *fleet) setAnswerBytes(n int) {
	for _, h := range f.Hosts {
		h.Worker.SetAnswerBytes(n)
	}
}
