package distribution

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var (
	eventApplied = event.Define(event.Event{
		Number:  1400,
		Level:   logrus.InfoLevel,
		Message: "release in force",
		Fields:  []string{"release", "digest", "via"},
		Meaning: "The node has applied the release and serves with it from now on.",
		Action:  "None.",
	})
	eventRefused = event.Define(event.Event{
		Number:  1401,
		Level:   logrus.ErrorLevel,
		Message: "release refused",
		Fields:  []string{"release", "via", "findings", "first"},
		Meaning: "The release has errors. All nodes refuse it as a whole and keep the release in force.",
		Action:  "Read the findings on the status page, fix the templates or parameters, and publish a new release.",
	})
	eventConflict = event.Define(event.Event{
		Number:  1402,
		Level:   logrus.ErrorLevel,
		Message: "two releases have one number",
		Fields:  []string{"release", "held", "offered", "verdict", "via"},
		Meaning: "Two different releases with the same number were published. All nodes converge on the one whose record has the higher digest.",
		Action:  "Publish the intended contents under a new number, and find out why two bundles were given the same number.",
	})
	eventOtherFleet = event.Define(event.Event{
		Number:  1403,
		Level:   logrus.ErrorLevel,
		Message: "release of another fleet refused",
		Fields:  []string{"release", "fleet", "via"},
		Meaning: "The platform or a peer offered a release built for another fleet.",
		Action:  "Publish the releases of each fleet to its own platform.",
	})
	eventSettled = event.Define(event.Event{
		Number:  1404,
		Level:   logrus.InfoLevel,
		Message: "node settled",
		Fields:  []string{"release", "floor", "peers"},
		Meaning: "The starting node has confirmed its release with enough peers, or its wait has timed out, and it serves from now on.",
		Action:  "None.",
	})
	eventBelowFloor = event.Define(event.Event{
		Number:  1405,
		Level:   logrus.WarnLevel,
		Message: "available release is below the floor",
		Fields:  []string{"release", "floor"},
		Meaning: "A peer remembers that this host held a higher release than is available now. The node does not serve.",
		Action:  "Check whether the platform is stale. A release with a number at or above the floor lets the node serve.",
	})
	eventCorrupt = event.Define(event.Event{
		Number:  1406,
		Level:   logrus.WarnLevel,
		Message: "document from a peer is corrupt",
		Fields:  []string{"peer", "document", "target", "error"},
		Meaning: "A document did not match its digests. It was discarded and is requested again.",
		Action:  "None for a single event; if it repeats, check the host of the peer.",
	})
	eventLinkOpened = event.Define(event.Event{
		Number:  1407,
		Level:   logrus.DebugLevel,
		Message: "link opened",
		Fields:  []string{"peer", "outgoing", "purpose"},
		Meaning: "A link to a peer was established.",
		Action:  "None.",
	})
	eventLinkClosed = event.Define(event.Event{
		Number:  1408,
		Level:   logrus.DebugLevel,
		Message: "link closed",
		Fields:  []string{"peer", "outgoing", "reason"},
		Meaning: "A link to a peer was closed. The node dials the peer again if it needs the link.",
		Action:  "None.",
	})
	eventLinkSilent = event.Define(event.Event{
		Number:  1409,
		Level:   logrus.WarnLevel,
		Message: "link silent",
		Fields:  []string{"peer", "silent"},
		Meaning: "No message arrived from a peer within the heartbeat timeout. The link is closed and dialled again on a new connection.",
		Action:  "None for a single event; if it repeats, check the network between the hosts.",
	})
	eventPaused = event.Define(event.Event{
		Number:  1410,
		Level:   logrus.WarnLevel,
		Message: "process was paused",
		Fields:  []string{"paused"},
		Meaning: "The process was suspended for longer than pause_threshold. It closes its links and handshakes with its peers again before it sends them any state.",
		Action:  "If it repeats, find out what suspends the process.",
	})
	eventSourceOlder = event.Define(event.Event{
		Number:  1411,
		Level:   logrus.WarnLevel,
		Message: "the platform offers an older release",
		Fields:  []string{"release", "held"},
		Meaning: "The platform's newest release is older than the one in force. It is ignored.",
		Action:  "Check whether the platform is stale or was restored from a backup.",
	})
	eventRecordInvalid = event.Define(event.Event{
		Number:  1412,
		Level:   logrus.ErrorLevel,
		Message: "release record is unreadable",
		Fields:  []string{"error"},
		Meaning: "The platform offered a release record that is corrupt or has an unknown format.",
		Action:  "Publish the release again.",
	})
	eventFetchFailed = event.Define(event.Event{
		Number:  1413,
		Level:   logrus.WarnLevel,
		Message: "release could not be read from the platform",
		Fields:  []string{"release", "error"},
		Meaning: "The record or a part of a release could not be read or is corrupt. The read is retried with backoff.",
		Action:  "If it repeats, check the platform.",
	})
	eventHostsApplied = event.Define(event.Event{
		Number:  1414,
		Level:   logrus.DebugLevel,
		Message: "host list installed",
		Fields:  []string{"revision", "hosts", "via"},
		Meaning: "The node now uses a newer host list.",
		Action:  "None.",
	})
	eventHostsInvalid = event.Define(event.Event{
		Number:  1415,
		Level:   logrus.ErrorLevel,
		Message: "host list refused",
		Fields:  []string{"revision", "error"},
		Meaning: "The host list of the platform has an error. The previous one stays in use.",
		Action:  "Fix the host list on the platform.",
	})
)
