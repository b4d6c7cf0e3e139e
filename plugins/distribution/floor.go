package distribution

import "github.com/bronzemast/bronzemast/model"

// maxFloors is the maximum number of hosts whose floor a node remembers.
const maxFloors = 4096

// floors maps each host to the highest release that it claimed to hold. Entries
// outlive the links. When the map is full, the host with the least recent claim
// is evicted.
type floors struct {
	entries map[model.HostID]*floorEntry
	// clock is a logical clock that counts claims.
	clock uint64
}

type floorEntry struct {
	release uint64
	// lastClaim is the clock at the last claim of the host.
	lastClaim uint64
}

func newFloors() *floors {
	return &floors{entries: map[model.HostID]*floorEntry{}}
}

// Claim records that a host claims to hold the release.
func (f *floors) Claim(host model.HostID, release uint64) {
	if release == 0 {
		return
	}
	f.clock++
	entry, known := f.entries[host]
	if !known {
		f.evictOldest()
		entry = &floorEntry{}
		f.entries[host] = entry
	}
	entry.lastClaim = f.clock
	entry.release = max(entry.release, release)
}

// Of returns the highest release that the host has claimed, 0 if unknown.
func (f *floors) Of(host model.HostID) uint64 {
	if entry, known := f.entries[host]; known {
		return entry.release
	}
	return 0
}

func (f *floors) evictOldest() {
	if len(f.entries) < maxFloors {
		return
	}
	var oldest model.HostID
	lastClaim := f.clock + 1
	for host, entry := range f.entries {
		if entry.lastClaim < lastClaim {
			oldest, lastClaim = host, entry.lastClaim
		}
	}
	delete(f.entries, oldest)
}
