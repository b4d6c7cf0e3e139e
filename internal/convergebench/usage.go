package convergebench

import (
	"time"

	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/bronzemast/bronzemast/model"
)

// sample holds the resource usage of the nodes at a point in time.
type sample struct {
	at    time.Time
	nodes map[model.HostID]nodeSample
}

// nodeSample holds the resource usage of one process since its start.
type nodeSample struct {
	pid int
	// peer and source are control bytes: those sent to other nodes, and those
	// exchanged with the platform.
	peer     int64
	source   int64
	cpu      time.Duration
	resident uint64
}

// variables holds the counters of a node that a sample includes.
type variables struct {
	Plugins struct {
		Distribution struct {
			Sent int64 `json:"bytes_sent"`
		} `json:"distribution"`
		Source struct {
			Sent     int64 `json:"bytes_sent"`
			Received int64 `json:"bytes_received"`
		} `json:"source"`
	} `json:"plugins"`
}

// takeSample reads the counters of all running nodes. Bytes between nodes are
// counted at the sender only, and bytes exchanged with the platform at the node.
func takeSample(procs []*procfleet.Proc) sample {
	s := sample{at: time.Now(), nodes: map[model.HostID]nodeSample{}}
	for _, p := range procs {
		var v variables
		if p.Get("/debug/vars", &v) != nil {
			continue
		}
		usage, err := p.Usage()
		if err != nil {
			continue
		}
		s.nodes[p.Host.ID] = nodeSample{
			pid:      p.PID(),
			peer:     v.Plugins.Distribution.Sent,
			source:   v.Plugins.Source.Sent + v.Plugins.Source.Received,
			cpu:      usage.CPU,
			resident: usage.ResidentBytes,
		}
	}
	return s
}

// Usage is the resource usage of the fleet in a part of a run.
type Usage struct {
	Seconds float64 `json:"seconds"`
	// PeerBytes and SourceBytes are control bytes per second and node, between
	// nodes and with the platform.
	PeerBytes   float64 `json:"peer_bytes_per_node_per_second"`
	SourceBytes float64 `json:"source_bytes_per_node_per_second"`
	// CPUPercent is the mean processor time of a node in percent of a core, and
	// CPUPercentMax the highest of any node.
	CPUPercent    float64 `json:"cpu_percent_of_core"`
	CPUPercentMax float64 `json:"cpu_percent_of_core_max"`
	// ResidentMB is the mean resident memory of a node in MiB at the end, and
	// ResidentMBMax the highest of any node.
	ResidentMB    float64 `json:"resident_mb"`
	ResidentMBMax float64 `json:"resident_mb_max"`
	// SourceMean and SourcePeak are calls to the platform per second.
	SourceMean float64 `json:"source_calls_per_second"`
	SourcePeak uint64  `json:"source_calls_peak"`
	// Nodes is the number of nodes sampled at the end.
	Nodes int `json:"nodes"`
}

const (
	bytesPerMB = 1 << 20
	percent    = 100
)

// usageBetween returns the usage between two samples. For a process that was
// replaced in between, only the usage of the new one counts.
func usageBetween(a, b sample, calls platform.Counts) Usage {
	u := Usage{Seconds: b.at.Sub(a.at).Seconds(), SourcePeak: calls.Peak, Nodes: len(b.nodes)}
	if u.Seconds <= 0 || u.Nodes == 0 {
		return u
	}
	for id, now := range b.nodes {
		before := a.nodes[id]
		if before.pid != now.pid {
			before = nodeSample{}
		}
		cpu := percent * (now.cpu - before.cpu).Seconds() / u.Seconds
		resident := float64(now.resident) / bytesPerMB
		u.PeerBytes += float64(now.peer-before.peer) / u.Seconds / float64(u.Nodes)
		u.SourceBytes += float64(now.source-before.source) / u.Seconds / float64(u.Nodes)
		u.CPUPercent += cpu / float64(u.Nodes)
		u.CPUPercentMax = max(u.CPUPercentMax, cpu)
		u.ResidentMB += resident / float64(u.Nodes)
		u.ResidentMBMax = max(u.ResidentMBMax, resident)
	}
	u.SourceMean = float64(calls.Total) / u.Seconds
	return u
}
