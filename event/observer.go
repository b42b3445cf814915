package event

// Events of the observation of upstreams.
var (
	UpstreamSilent  = define(120, "UpstreamSilent", Warning, "An engine does not respond to queries of its state.")
	UpstreamAnswers = define(121, "UpstreamAnswers", Info, "An engine responds to queries of its state again.")
)
