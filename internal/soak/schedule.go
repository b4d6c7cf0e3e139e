package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// eventKind is a kind of event.
type eventKind uint8

// The kinds of events. Those before plannedBoundary are faults, those after it planned
// work.
const (
	// kindKill kills a node process.
	kindKill eventKind = iota
	// kindHerdKill kills three of four node processes at once.
	kindHerdKill
	// kindPause stops a node process with SIGSTOP and resumes it.
	kindPause
	// kindCut resets the connections of a host and rejects new ones.
	kindCut
	// kindSilence holds back the traffic of a host without closing connections.
	kindSilence
	// kindSilenceOpen permanently stops forwarding on the open connections of a host.
	kindSilenceOpen
	// kindDelay delays the traffic of a host.
	kindDelay
	// kindStoreFault makes the store fail, limit the rate of, ignore or reset requests.
	kindStoreFault
	// kindStoreSlow delays the responses of the store.
	kindStoreSlow
	// kindStoreCompact compacts the history of the store.
	kindStoreCompact
	// kindStoreCut cuts or silences the link between a host and the store.
	kindStoreCut
	// kindWorkerCrash stops a worker without a drain.
	kindWorkerCrash
	// kindWorkerFails makes a worker answer requests with status 500.
	kindWorkerFails
	plannedBoundary
	// kindStop ends a node process with SIGTERM and starts it again.
	kindStop
	// kindHangup sends SIGHUP to a node process.
	kindHangup
	// kindConfigure publishes a configuration.
	kindConfigure
	// kindStorm publishes several configurations in quick succession.
	kindStorm
	// kindMistake publishes an invalid configuration, followed by a valid one.
	kindMistake
	// kindReplace drains a worker and replaces it.
	kindReplace
	kindCount
	// kindStoreRestore lets the store come back from an older copy after a moment; what it
	// has lost is written again.
	kindStoreRestore
	// kindWorkerLimit makes a worker name a limit on its requests.
	kindWorkerLimit
	// kindFatalRequest sends a request that crashes the workers that run it.
	kindFatalRequest
	// kindEvacuate evacuates a failure domain, whose workers are cold at the end.
	kindEvacuate
)

// laterKinds are groups of faults. Each is scheduled by a random sequence of its own, so that
// the other events of a seed stay as they were.
var laterKinds = [][]eventKind{{kindStoreRestore, kindWorkerLimit}, {kindFatalRequest}, {kindEvacuate}}

// isFault reports whether events of the kind are faults and not planned work.
func (k eventKind) isFault() bool {
	return k != kindEvacuate && (k < plannedBoundary || k > kindCount)
}

var kindNames = map[eventKind]string{
	kindKill: "kill", kindHerdKill: "herd-kill", kindPause: "pause", kindCut: "cut", kindSilence: "silence",
	kindSilenceOpen: "silence-open", kindDelay: "delay", kindStoreFault: "store-fault", kindStoreSlow: "store-slow",
	kindStoreCompact: "store-compact", kindStoreCut: "store-cut", kindWorkerCrash: "worker-crash", kindWorkerFails: "worker-fails",
	kindStop: "stop", kindHangup: "hangup", kindConfigure: "configure", kindStorm: "storm", kindMistake: "mistake",
	kindReplace: "replace", kindStoreRestore: "store-restore", kindWorkerLimit: "worker-limit",
	kindFatalRequest: "fatal-request", kindEvacuate: "evacuate",
}

// String returns the name of the kind.
func (k eventKind) String() string { return kindNames[k] }

// concernsStore reports whether a fault of the kind keeps all nodes from reading the store,
// or delays what they read.
func (k eventKind) concernsStore() bool {
	return k == kindStoreFault || k == kindStoreSlow || k == kindStoreCompact || k == kindStoreRestore
}

// concernsNodes reports whether a fault of the kind stops nodes or disturbs the links between
// them.
func (k eventKind) concernsNodes() bool {
	switch k {
	case kindKill, kindHerdKill, kindPause, kindCut, kindSilence, kindSilenceOpen, kindDelay:
		return true
	default:
		return false
	}
}

// event is a fault or a piece of planned work that is injected into the fleet.
type event struct {
	kind eventKind
	// offset is the start time of the event, measured from the end of the warm-up.
	offset time.Duration
	// duration is how long a fault stays active.
	duration time.Duration
	// host is the index of the host that the event acts on, if it acts on one.
	host int
	// variant selects one of the forms that a kind has, such as the direction of a link
	// fault.
	variant int
}

const (
	// meanEventGap is the mean time between two series of events. It is shorter than the
	// mean duration of an event, so that events overlap.
	meanEventGap = 700 * time.Millisecond
	// maxEventDuration bounds the random part of an event's duration.
	maxEventDuration = 3 * time.Second
	variantCount     = 4
)

// schedule returns the events of a run in the order of their start times. Events come in
// series of one to three of the same kind, on the same host or the next one, so that an
// event may follow one of its kind at once.
func schedule(o *Options) []event {
	random := rand.New(rand.NewPCG(o.Seed, uint64(o.Hosts)))
	var events []event
	offset := time.Duration(0)
	for {
		offset += time.Duration(random.ExpFloat64() * float64(meanEventGap))
		if offset >= o.Duration {
			break
		}
		e := event{
			kind:     randomKind(random, o.PlannedOnly),
			offset:   offset,
			duration: time.Duration(random.Int64N(int64(maxEventDuration))) + 50*time.Millisecond,
			host:     random.IntN(o.Hosts),
			variant:  random.IntN(variantCount),
		}
		for range 1 + random.IntN(3) {
			events = append(events, e)
			e.offset += time.Duration(random.Int64N(int64(2 * meanEventGap)))
			e.host = (e.host + random.IntN(2)) % o.Hosts
		}
	}
	if !o.PlannedOnly && o.OlderBinary == "" {
		for i, kinds := range laterKinds {
			events = append(events, laterEvents(o, uint64(i), kinds)...)
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.offset, b.offset) })
	return events
}

// meanLaterGap is the mean time between two events of laterKinds.
const meanLaterGap = 3 * time.Second

// laterEvents returns the events of a group of laterKinds.
func laterEvents(o *Options, group uint64, kinds []eventKind) []event {
	const sequence = 1 << 32 // differs from all numbers of hosts
	random := rand.New(rand.NewPCG(o.Seed, sequence+group))
	var events []event
	for offset := time.Duration(0); ; {
		offset += time.Duration(random.ExpFloat64() * float64(meanLaterGap))
		if offset >= o.Duration {
			return events
		}
		events = append(events, event{
			kind:     kinds[random.IntN(len(kinds))],
			offset:   offset,
			duration: time.Duration(random.Int64N(int64(maxEventDuration))) + 50*time.Millisecond,
			host:     random.IntN(o.Hosts),
			variant:  random.IntN(variantCount),
		})
	}
}

func randomKind(random *rand.Rand, onlyPlanned bool) eventKind {
	for {
		k := eventKind(random.IntN(int(kindCount)))
		if k != plannedBoundary && !(onlyPlanned && k < plannedBoundary) {
			return k
		}
	}
}
