package relay

import (
	"slices"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
)

// continuesStream reports whether the next attempt goes on with a stream that an earlier one, or an earlier request of the
// client, began.
func (transaction *transaction) continuesStream() bool {
	metadata := &transaction.request.Metadata
	return transaction.lastEvent > 0 || metadata.Resumes != "" || metadata.LastEventID > 0
}

// recordRelease records the release that begins the stream with its first event.
func (transaction *transaction) recordRelease(candidate balance.Candidate) {
	if transaction.release == "" && !transaction.continuesStream() {
		transaction.release = candidate.Release
	}
}

// ofRelease returns the candidates of the release that began the stream, or all if that is unknown.
func (transaction *transaction) ofRelease(candidates []balance.Candidate) []balance.Candidate {
	if transaction.release == "" {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(candidate balance.Candidate) bool {
		return candidate.Release != transaction.release
	})
}

// releaseFailure returns why a stream cannot go on although no replica of its release was tried, or nil if one may still
// become able to: if replicas of the release serve, and no other has the model, which may thus be loaded on one of them.
func (transaction *transaction) releaseFailure() *outcome.Error {
	if transaction.release == "" {
		return nil
	}
	if len(transaction.holders()) > 0 {
		return outcome.New(outcome.NoReplica, "only replicas of another release than %s can serve the stream", transaction.release).WithRetryAfter(retryAfterCold)
	}
	if len(transaction.ofRelease(transaction.relay.deps.Directory.Replicas(transaction.service.Name))) == 0 {
		return outcome.New(outcome.NoReplica, "no replica of release %s, which began the stream, serves", transaction.release).WithRetryAfter(retryAfterCold)
	}
	return nil
}

// logContinuation logs that the attempt at the candidate goes on with a stream.
func (transaction *transaction) logContinuation(candidate balance.Candidate) {
	if !transaction.continuesStream() {
		return
	}
	metadata := &transaction.request.Metadata
	event.StreamContinued.Log("Request", metadata.ID, "Resumes", metadata.Resumes, "Service", transaction.service.Name,
		"LastEvent", max(transaction.lastEvent, metadata.LastEventID), "Begun", transaction.release,
		"Replica", candidate.ID, "Born", candidate.Started, "Release", candidate.Release)
}
