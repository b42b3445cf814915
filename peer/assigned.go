package peer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Assigned returns up to n daemons that poll the upstream, the most preferred first. It uses rendezvous
// hashing: if a daemon is added or removed, only the upstreams assigned to it move. It computes one hash for
// each daemon.
func Assigned(upstream string, daemons []string, n int) []string {
	type scored struct {
		daemon string
		score  uint64
	}
	scores := make([]scored, 0, len(daemons))
	for _, daemon := range daemons {
		scores = append(scores, scored{daemon, xxhash.Sum64String(upstream + "\x00" + daemon)})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.daemon, b.daemon)
	})
	chosen := make([]string, 0, max(n, 0))
	for _, entry := range scores[:max(0, min(n, len(scores)))] {
		chosen = append(chosen, entry.daemon)
	}
	return chosen
}
