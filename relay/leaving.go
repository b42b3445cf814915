package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/balance"
)

// leavingReleases returns the releases among those of the candidates at which a stream should not begin that its client may take up:
// the release leaves, and only one candidate has it or none will serve until the deadline. It returns nil for other requests.
func (transaction *transaction) leavingReleases(candidates []balance.Candidate, now time.Time) []string {
	rollouts := transaction.relay.deps.Rollouts
	if rollouts == nil || !transaction.route.Resumable || transaction.release != "" {
		return nil
	}
	var leaving []string
	for _, end := range rollouts.Ends(transaction.service.Name, now) {
		count := countOfRelease(candidates, end.Release)
		if count == 1 || (count > 1 && end.At.Before(transaction.deadline)) {
			leaving = append(leaving, end.Release)
		}
	}
	return leaving
}

// countOfRelease returns the number of candidates of the release.
func countOfRelease(candidates []balance.Candidate, release string) int {
	count := 0
	for index := range candidates {
		if candidates[index].Release == release {
			count++
		}
	}
	return count
}
