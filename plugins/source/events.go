package source

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var (
	eventUnavailable = event.Define(event.Event{
		Number:  1200,
		Level:   logrus.WarnLevel,
		Message: "platform does not answer",
		Fields:  []string{"key", "error"},
		Meaning: "A read or watch of the platform failed after earlier ones had succeeded. The node keeps its current values and retries with exponential back-off.",
		Action:  "If many nodes log this event, check the platform; if only one does, check its network.",
	})
	eventAvailable = event.Define(event.Event{
		Number:  1201,
		Level:   logrus.InfoLevel,
		Message: "platform answers again",
		Fields:  []string{"key", "failures"},
		Meaning: "A read or watch succeeded after failures.",
		Action:  "None.",
	})
	eventCorrupt = event.Define(event.Event{
		Number:  1202,
		Level:   logrus.ErrorLevel,
		Message: "value of the platform refused",
		Fields:  []string{"key", "error"},
		Meaning: "The platform returned a value that cannot be decoded or verified. The previous value stays in force; the node tries another replica.",
		Action:  "Compare the replicas of the platform; publish the value again.",
	})
	eventBackward = event.Define(event.Event{
		Number:  1203,
		Level:   logrus.WarnLevel,
		Message: "platform went backwards",
		Fields:  []string{"key", "number", "highest"},
		Meaning: "A replica of the platform returned an older value than one that the node had read. The older value is ignored; the node tries another replica.",
		Action:  "Look for a replica of the platform that lags behind the others.",
	})
	eventConflict = event.Define(event.Event{
		Number:  1204,
		Level:   logrus.ErrorLevel,
		Message: "two values with one number",
		Fields:  []string{"key", "number"},
		Meaning: "The platform returned different contents under a number that the node had read before. The contents read first stay in force.",
		Action:  "Publish the intended contents under a new number.",
	})
	eventReader = event.Define(event.Event{
		Number:  1205,
		Level:   logrus.InfoLevel,
		Message: "node reads the platform",
		Fields:  []string{"failure_domain"},
		Meaning: "The node is a reader: it ranks among the first live hosts of its failure domain and watches the platform.",
		Action:  "None.",
	})
	eventNotReader = event.Define(event.Event{
		Number:  1206,
		Level:   logrus.InfoLevel,
		Message: "node no longer reads the platform",
		Fields:  []string{"failure_domain"},
		Meaning: "The node is no longer a reader: enough other live hosts of the failure domain rank before it.",
		Action:  "None.",
	})
)
