package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// retryAfterUnknown is the Retry-After value of a request that takes up a stream whose origin is not known: a daemon that has
// just started may learn it.
const retryAfterUnknown = 300 * time.Millisecond

// Origins knows which releases began streams. It is safe for concurrent use.
type Origins interface {
	// Begin records the origin of the stream before its first event is passed on, which it delays for a moment at most.
	Begin(ctx context.Context, stream origin.Stream)
	// Broke records that the stream ended before its client had all of it. It must not block.
	Broke(id string)
	// Find returns the origin of the stream that the attempt began at the service, if the client names no other, and how it is
	// known: origin.Unknown if it is not.
	Find(ctx context.Context, id, service string) (origin.Origin, origin.Source)
	// Age returns how long this daemon has known the origin of the stream; zero if it does not.
	Age(id string) time.Duration
}

// streamID returns the ID of the attempt that began the stream, which is that of the request unless it takes one up.
func streamID(request *exchange.Request) string {
	return cmp.Or(request.Metadata.Resumes, request.Metadata.ID)
}

// takesUp reports whether the client goes on with a stream that another request began.
func (transaction *transaction) takesUp() bool {
	metadata := &transaction.request.Metadata
	return transaction.route.Kind == topology.Streaming && (metadata.Resumes != "" || metadata.LastEventID.Known() || metadata.UnreadableEvent)
}

// findOrigin sets the release at which a stream that the client takes up may go on. It returns the refusal of the request if
// that is not known: what two releases write cannot be joined.
func (transaction *transaction) findOrigin(ctx context.Context) *outcome.Error {
	if !transaction.takesUp() || transaction.release != "" {
		return nil
	}
	metadata := &transaction.request.Metadata
	taken := &TakeUp{Age: transaction.relay.deps.Origins.Age(metadata.Resumes)}
	transaction.summary.TakeUp = taken
	found, source := transaction.relay.deps.Origins.Find(ctx, metadata.Resumes, transaction.service.Name)
	taken.Origin, taken.Source = found, source
	service, allowed := transaction.targetOf(found.Service)
	if source == origin.Unknown || !allowed {
		return outcome.New(outcome.OriginUnknown, "it is not known which release began the stream").WithRetryAfter(retryAfterUnknown)
	}
	transaction.service, transaction.release = service, found.Release
	return nil
}

// targetOf returns the service with the name, and whether the route leads to it.
func (transaction *transaction) targetOf(name string) (topology.Service, bool) {
	for _, target := range transaction.route.Targets {
		if target.Service == name {
			return transaction.configuration.Services[name], true
		}
	}
	return topology.Service{}, false
}

// recordOrigin records the release that begins the stream, before its first event is passed on.
func (transaction *transaction) recordOrigin(ctx context.Context, candidate balance.Candidate) {
	if transaction.release != "" {
		return
	}
	transaction.release = candidate.Release
	if transaction.route.Resumable {
		began := origin.Origin{Service: transaction.service.Name, Release: candidate.Release}
		transaction.relay.deps.Origins.Begin(ctx, origin.Stream{Origin: began, ID: transaction.request.Metadata.ID})
	}
}

// recordEnd records that a stream that this request began ended before its client had all of it.
func (transaction *transaction) recordEnd(failure *outcome.Error) {
	if failure != nil && transaction.begunResumable() && !transaction.takesUp() {
		transaction.relay.deps.Origins.Broke(transaction.request.Metadata.ID)
	}
}

// ofRelease returns the candidates of the release that began the stream, or all if none did yet.
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
	metadata := &transaction.request.Metadata
	if !transaction.reached.last.Known() && !transaction.takesUp() {
		return
	}
	event.StreamContinued.Log("Request", metadata.ID, "Service", transaction.service.Name,
		"LastEvent", transaction.reached.last.Or(metadata.LastEventID), "Begun", transaction.release,
		"Replica", candidate.ID, "Born", candidate.Started, "Release", candidate.Release)
}
