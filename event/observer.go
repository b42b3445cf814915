package event

// The events of observing upstreams.
var (
	UpstreamSilent  = define(120, "UpstreamSilent", Warning, "An engine does not answer the question for its state.")
	UpstreamAnswers = define(121, "UpstreamAnswers", Info, "An engine answers the question for its state again.")
)
