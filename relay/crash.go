package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

// CrashOf returns the crash record for an incarnation of a replica, as counted against the requests that it was
// running.
func CrashOf(replica topology.Incarnation) quarantine.Crash {
	return quarantine.Crash{Upstream: replica.ID, BootID: strconv.FormatInt(replica.Started, 10)}
}

// maxSharedParts bounds the parts of one prompt that crashes are counted against.
const maxSharedParts = 64

// causes returns what the request has that may crash replicas.
func causes(request *exchange.Request) quarantine.Causes {
	return quarantine.Causes{Request: request.Fingerprint(), Parts: request.SharedParts(maxSharedParts)}
}

// quarantineFailure returns the refusal of a request that crashed replicas, or that has a part in common with others that
// did, or nil if it may run.
func (transaction *transaction) quarantineFailure(now time.Time) *outcome.Error {
	trial := transaction.trial
	if transaction.runs > 0 {
		// A trial is one sending.
		trial = 0
	}
	admission := transaction.relay.deps.Suspects.Admit(transaction.causes, trial, now)
	if transaction.trial == 0 && admission.Trial != 0 {
		transaction.trial = admission.Trial
		event.TrialStarted.Log("Request", transaction.request.Metadata.ID, "Fingerprint", admission.Trial)
	}
	if !admission.Refused {
		return nil
	}
	failure := outcome.New(outcome.Quarantined, "earlier sendings crashed replicas: %v %x", admission.Cause.Kind, admission.Cause.Fingerprint)
	return failure.WithRetryAfter(admission.RetryAfter)
}

// endTrial ends the trial of a part of the prompt, if the request was admitted as one.
func (transaction *transaction) endTrial() {
	transaction.relay.deps.Suspects.EndTrial(transaction.trial, transaction.relay.deps.Clock.Now())
}

// countAnswer records that the replica responded in full. Only a success shows that the parts of the prompt can be
// processed.
func (transaction *transaction) countAnswer(success bool) {
	answered := transaction.causes
	if !success {
		answered.Parts = nil
	}
	transaction.relay.deps.Suspects.Answered(answered, transaction.trial, transaction.relay.deps.Clock.Now())
}

// countCrash records that the replica broke the connection while it ran the request.
func (transaction *transaction) countCrash(candidate balance.Candidate, now time.Time) {
	crashes := transaction.relay.deps.Suspects.ConnectionLost(transaction.causes, CrashOf(candidate.Incarnation), now)
	event.BreakCounted.Log("Request", transaction.request.Metadata.ID, "Fingerprint", transaction.causes.Request,
		"Replica", candidate.ID, "Born", candidate.Started, "Crashes", crashes,
		"Parts", sharedParts(transaction.request), "Begun", transaction.sink.Begun())
}

// maxLoggedParts bounds the parts of a prompt that one log line names.
const maxLoggedParts = 8

// sharedParts returns the IDs of the parts of the prompt that other requests may share, for logs.
func sharedParts(request *exchange.Request) string {
	var names []string
	prefix := request.Metadata.Prefix
	for index := range min(len(prefix)-1, maxLoggedParts) {
		names = append(names, prefix[index].ID)
	}
	return strings.Join(names, ",")
}
