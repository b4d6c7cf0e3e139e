package sidecar

import (
	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

var (
	eventAttempt = event.Define(event.Event{
		Number:  2200,
		Level:   logrus.InfoLevel,
		Message: "attempt ended",
		Fields:  []string{"request", "hop", "target", "occupied", "slots", "limit", "load_age_ms", "expected_ms", "cost", "patience_ms", "outcome", "reason", "handed", "took_ms"},
		Meaning: "The entry node has sent a request to a target's node, or tried to. The fields occupied, slots and expected_ms are its estimates for the target, based on the load that the target's node reported load_age_ms earlier. limit is the rate that the target accepts as far as the entry node knows, in requests per second, -1 if it names none.",
		Action:  "None. The \"request ended\" line of the same request has its result.",
	})
	eventRequest = event.Define(event.Event{
		Number:  2201,
		Level:   logrus.InfoLevel,
		Message: "request ended",
		Fields:  []string{"request", "route", "service", "configuration", "revision", "hops", "targets", "outcome", "reason", "status", "retry_after_ms", "took_ms", "left_ms", "fingerprint"},
		Meaning: "A caller has received its response or has disconnected. left_ms is the time remaining until the earlier of the caller's deadline and the route's timeout. fingerprint is set if a target has crashed while it ran the request, or if the request was kept from targets for that reason; equal requests have equal fingerprints.",
		Action:  "For failed requests, look up the attempt and target side lines with the same request ID.",
	})
	eventTargetSide = event.Define(event.Event{
		Number:  2202,
		Level:   logrus.InfoLevel,
		Message: "target side ended",
		Fields:  []string{"request", "route", "target", "rank", "nested", "late", "patience_ms", "expected_ms", "start_within_ms", "running", "waiting", "slots", "limit", "waited_ms", "worked_ms", "outcome", "reason", "status", "revision", "sender_revision", "fingerprint"},
		Meaning: "The node beside a target has admitted or rejected a request. The fields running, waiting and slots hold the target's load when the request arrived, limit the rate that it accepts in requests per second, -1 if it names none. fingerprint is set for a request that was sent to the target and got no complete answer; equal requests have equal fingerprints.",
		Action:  "If many requests are rejected as overloaded, the target has too few slots for its load or has become slow.",
	})
	eventUnlogged = event.Define(event.Event{
		Number:  2203,
		Level:   logrus.InfoLevel,
		Message: "requests not logged",
		Fields:  []string{"failed", "served"},
		Meaning: "The rate limit of log lines was reached. Failed, rejected, slow and retried requests have priority; the others are sampled.",
		Action:  "None. The metrics count all requests.",
	})
	eventTargetState = event.Define(event.Event{
		Number:  2204,
		Level:   logrus.InfoLevel,
		Message: "target state changed",
		Fields:  []string{"target", "state", "failure_rate", "slowdown", "unreachable_ms"},
		Meaning: "The node's estimate of a target's state has changed to healthy, slow, failing or unreachable, based on the answers it received. Requests are placed accordingly.",
		Action:  "Investigate a target that stays slow or failing.",
	})
	eventRejected = event.Define(event.Event{
		Number:  2206,
		Level:   logrus.InfoLevel,
		Message: "request rejected",
		Fields:  []string{"request", "authority", "path", "configuration", "revision", "reason", "status", "retry_after_ms"},
		Meaning: "The entry node has rejected a request before selecting a target: no route matches its authority and path, the node has no configuration yet or is draining, or the request cannot be read or is too large. The field configuration is 0 if there is none.",
		Action:  "For no-route, compare the authority and path with the configuration of that number; another node may have a later one.",
	})
	eventAnnounced = event.Define(event.Event{
		Number:  2207,
		Level:   logrus.InfoLevel,
		Message: "target announcement changed",
		Fields:  []string{"target", "limit", "invalid", "leaving", "source"},
		Meaning: "The answers of the host's own target announce something else than before: limit is the number of requests per second that it accepts from all nodes together, -1 if it names none, and invalid the text of a limit that is not a rate and is ignored. leaving is set when it announces its shutdown. source is answer, or peer if another node has passed it on.",
		Action:  "Find out why the target limits its requests. A limit that is not a rate is a fault of the target.",
	})
	eventUnknownHeader = event.Define(event.Event{
		Number:  2208,
		Level:   logrus.WarnLevel,
		Message: "unknown header of the target",
		Fields:  []string{"header"},
		Meaning: "An answer of the host's own target has a header by which targets describe themselves and that this version does not know. It is logged once for each name.",
		Action:  "Check whether the platform's protocol has changed; a later version of the node may act on the header.",
	})
	eventTargetCrashed = event.Define(event.Event{
		Number:  2209,
		Level:   logrus.WarnLevel,
		Message: "target crashed",
		Fields:  []string{"target", "fingerprints", "overloaded_cold"},
		Meaning: "The host's own target ended its connections without answers and refuses new ones, though it had not announced its shutdown. fingerprints identifies the requests that it was running and had never completed: equal requests have equal fingerprints. overloaded_cold is set if the target was cold and had got more requests than it tolerates then; the crash does not count against the requests.",
		Action:  "If one fingerprint is among those of several crashes, the request probably causes them: find it by the field fingerprint of the \"target side ended\" lines. Otherwise look for the cause at the target.",
	})
	eventWarmup = event.Define(event.Event{
		Number:  2210,
		Level:   logrus.InfoLevel,
		Message: "target may be cold",
		Fields:  []string{"target", "cold_ms", "source"},
		Meaning: "The node takes the host's own target to be cold for cold_ms more, and keeps its requests within the rate that the configuration gives for cold targets. source tells why: its entry, a start, the end of an evacuation, a new connection after it was unreachable, or its answer to a health check, which replaces the other sources.",
		Action:  "None.",
	})
	eventInvalidLoad = event.Define(event.Event{
		Number:  2211,
		Level:   logrus.WarnLevel,
		Message: "load report cannot be read",
		Fields:  []string{"text"},
		Meaning: "An answer of the host's own target has a load report that is not a list of at least three numbers. It is ignored. The first one of a process is logged, and all are counted (metric invalid_load_reports).",
		Action:  "Check whether the platform's protocol has changed.",
	})
	eventDrain = event.Define(event.Event{
		Number:  2205,
		Level:   logrus.InfoLevel,
		Message: "node is leaving",
		Fields:  []string{"stage", "in_flight", "at_target", "accepted_calls"},
		Meaning: "The node received a request to stop and is draining. The stages are lingering (it still accepts requests), refusing (it rejects new requests and waits for those in flight) and done. The field at_target counts the requests at the host's own target, accepted_calls those that were accepted as calls of such requests while the node was refusing.",
		Action:  "None.",
	})
)
