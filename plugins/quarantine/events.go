package quarantine

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var (
	eventHeld = event.Define(event.Event{
		Number:  2300,
		Level:   logrus.WarnLevel,
		Message: "request is kept from targets",
		Fields:  []string{"fingerprint", "crashes", "since_ms", "for_ms", "via"},
		Meaning: "Targets have crashed while they ran this request, and it has not been completed often enough to call that a coincidence. The node refuses it from now on, for for_ms milliseconds at least; the last crash was since_ms ago. via is target if the host's own target crashed, answer if the answer of another node said so, else the address of the peer that passed it on.",
		Action:  "Find the request by its fingerprint in the lines \"request ended\" and \"target side ended\", and tell the caller. Fix the fault of the target: any request that can crash it is a risk.",
	})
	eventReleased = event.Define(event.Event{
		Number:  2301,
		Level:   logrus.InfoLevel,
		Message: "request is no longer kept from targets",
		Fields:  []string{"fingerprint", "crashes", "held_ms"},
		Meaning: "The time for which the request was refused is over, or it was completed often enough. It is tried by one target at a time until it has been completed; a further crash means twice the time.",
		Action:  "None.",
	})
	eventPeerFailed = event.Define(event.Event{
		Number:  2302,
		Level:   logrus.InfoLevel,
		Message: "crash reports not exchanged",
		Fields:  []string{"peer", "error"},
		Meaning: "A peer did not answer to crash reports, or not properly. Other nodes pass them on.",
		Action:  "None, unless it lasts: then look for what keeps the two hosts from reaching each other.",
	})
)
