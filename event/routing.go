package event

// The events of upstreams, routing and claims.
var (
	UpstreamEjected   = define(600, "UpstreamEjected", Warning, "An upstream failed and gets no requests until a probe succeeds.")
	UpstreamOnTrial   = define(601, "UpstreamOnTrial", Info, "A probe of an ejected upstream succeeded; it gets one request at a time until one is answered.")
	UpstreamCrashed   = define(602, "UpstreamCrashed", Warning, "An upstream ended while a request ran; the request is a suspect from now on.")
	StreamResumed     = define(603, "StreamResumed", Info, "A connection went silent and its request goes on over a fresh one.")
	AdapterLoadFailed = define(604, "AdapterLoadFailed", Warning, "An adapter could not be loaded on a replica.")
	ClaimPostponed    = define(605, "ClaimPostponed", Warning, "The end of a claimed call cannot be written now and is kept for later.")
	StreamMoved       = define(607, "StreamMoved", Info, "A stream leaves an upstream that is leaving and goes on at another by its KV cache.")
	ClaimDropped      = define(606, "ClaimDropped", Error, "The end of a claimed call was dropped; resends learn that the call may have run.")
)
