package logpipe

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var eventDropped = event.Define(event.Event{
	Number:  1004,
	Level:   logrus.WarnLevel,
	Message: "log lines dropped",
	Fields:  []string{"lines"},
	Meaning: "The reader of the log was too slow, or too much was logged at once. Requests are not delayed by it.",
	Action:  "Check the process that collects the log.",
})
