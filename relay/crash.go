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

// quarantineFailure returns the refusal of a request that crashed replicas, or nil if it may run.
func (transaction *transaction) quarantineFailure(now time.Time) *outcome.Error {
	wait, refused := transaction.relay.deps.Suspects.Refused(transaction.fingerprint, now)
	if !refused {
		return nil
	}
	return outcome.New(outcome.Quarantined, "earlier sendings crashed replicas").WithRetryAfter(wait)
}

// countCrash records that the replica broke the connection while it ran the request.
func (transaction *transaction) countCrash(candidate balance.Candidate, now time.Time) {
	crashes := transaction.relay.deps.Suspects.ConnectionLost(transaction.fingerprint, CrashOf(candidate.Incarnation), now)
	event.BreakCounted.Log("Request", transaction.request.Metadata.ID, "Fingerprint", transaction.fingerprint,
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
