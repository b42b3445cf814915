// Package rendezvous chooses members of a set by rendezvous hashing, so that all who know the same set choose the same
// ones without asking each other.
package rendezvous

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Choose returns up to n members for the key, the most preferred first. If a member is added or removed, only the keys for
// which it is chosen move. It computes one hash for each member.
func Choose(key string, members []string, n int) []string {
	type scored struct {
		member string
		score  uint64
	}
	scores := make([]scored, 0, len(members))
	for _, member := range members {
		scores = append(scores, scored{member, xxhash.Sum64String(key + "\x00" + member)})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.member, b.member))
	})
	chosen := make([]string, 0, max(n, 0))
	for _, entry := range scores[:max(0, min(n, len(scores)))] {
		chosen = append(chosen, entry.member)
	}
	return chosen
}
