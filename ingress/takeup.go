package ingress

import (
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/relay"
)

const (
	// maxLoggedID bounds the bytes of an ID in a log line.
	maxLoggedID = 64
	// answered is the outcome of a request that did not fail.
	answered = "Answered"
)

// recordTakeUp logs and counts how a request ended that went on with a stream; it does nothing for others.
func (ingress *Ingress) recordTakeUp(request *exchange.Request, summary relay.Summary, failure *outcome.Error) {
	taken := summary.TakeUp
	if taken == nil {
		return
	}
	ended := answered
	if failure != nil {
		ended = failure.Kind.String()
	}
	ingress.deps.Meter.Count(meter.TakeUpsEnded, meter.Labels{Kind: ended}, 1)
	metadata := &request.Metadata
	event.StreamTakenUp.Log("Request", metadata.ID, "Resumes", metadata.Resumes[:min(len(metadata.Resumes), maxLoggedID)],
		"LastEvent", metadata.LastEventID, "Service", taken.Origin.Service, "Begun", taken.Origin.Release, "Source", taken.Source,
		"Age", taken.Age, "Outcome", ended, "Replica", summary.Replica.ID)
}
