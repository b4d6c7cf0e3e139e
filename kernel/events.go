package kernel

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var (
	eventStarted = event.Define(event.Event{
		Number:  1010,
		Level:   logrus.InfoLevel,
		Message: "node started",
		Fields:  []string{"profile", "incarnation", "failure_domain", "service"},
		Meaning: "All plug-ins of the node have started.",
		Action:  "None.",
	})
	eventStopped = event.Define(event.Event{
		Number:  1011,
		Level:   logrus.InfoLevel,
		Message: "node stopped",
		Fields:  []string{"error"},
		Meaning: "All plug-ins of the node have stopped and the process exits.",
		Action:  "None.",
	})
)

// emit logs an event if the node has a log.
func (k *Kernel) emit(e *event.Event, fields event.Fields) {
	if k.log != nil {
		k.log.Emit(e, fields)
	}
}
