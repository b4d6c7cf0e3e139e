package forwarding

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var eventUnknownHeader = event.Define(event.Event{
	Number:  1700,
	Level:   logrus.WarnLevel,
	Message: "unknown header of the target",
	Fields:  []string{"header"},
	Meaning: "A response of the host's own target has a header whose name begins with Bronzemast-Target- and that this version does not know. It is logged once for each name.",
	Action:  "Check whether the target is built for a later version of bronzemast, or has a misspelled name.",
})
