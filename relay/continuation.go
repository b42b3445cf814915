package relay

import (
	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/event"
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
