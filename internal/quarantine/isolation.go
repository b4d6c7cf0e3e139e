package quarantine

import "github.com/cespare/xxhash/v2"

// IsolationTarget returns the index of the target at which an isolated request runs, -1 if there
// is none. All nodes that know the same targets choose the same one (rendezvous hashing), so
// that no two of them try a request at the same time.
func IsolationTarget(f Fingerprint, targets []string) int {
	best, highest := -1, uint64(0)
	for i, target := range targets {
		if score := rendezvousScore(f, target); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

func rendezvousScore(f Fingerprint, target string) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(f[:]) // a Digest never returns an error
	_, _ = digest.WriteString(target)
	return digest.Sum64()
}
