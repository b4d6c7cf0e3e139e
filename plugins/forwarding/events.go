package forwarding

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var (
	eventUnknownHeader = event.Define(event.Event{
		Number:  1700,
		Level:   logrus.WarnLevel,
		Message: "unknown header of the target",
		Fields:  []string{"header"},
		Meaning: "A response of the host's own target has a header whose name begins with Bronzemast-Target- and that this version does not know. It is logged once for each name.",
		Action:  "Check whether the target is built for a later version of bronzemast, or has a misspelled name.",
	})
	eventTargetCrashed = event.Define(event.Event{
		Number:  1701,
		Level:   logrus.WarnLevel,
		Message: "target crashed",
		Fields:  []string{"target", "fingerprints"},
		Meaning: "The host's own target ended its connections without answers and refuses new ones, though the node is not shutting down. fingerprints identifies the calls that it was running and had never completed: equal calls have equal fingerprints.",
		Action:  "If one fingerprint is among those of several crashes, the call probably causes them. Otherwise look for the cause at the target.",
	})
)
