package membership

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var (
	eventPaused = event.Define(event.Event{
		Number:  1300,
		Level:   logrus.WarnLevel,
		Message: "process was paused",
		Fields:  []string{"seconds"},
		Meaning: "The process did not run for a while. It restarts the timeouts of suspected hosts, so that its own pause is not taken for their failure.",
		Action:  "If this repeats, check whether the host is overloaded or gets suspended.",
	})
	eventNoticeFailed = event.Define(event.Event{
		Number:  1301,
		Level:   logrus.ErrorLevel,
		Message: "leaving could not be announced",
		Fields:  []string{"member", "error"},
		Meaning: "The notice that a host is leaving was not broadcast. Other nodes learn of it from rejected calls.",
		Action:  "None, if the host leaves the host list soon.",
	})
)
