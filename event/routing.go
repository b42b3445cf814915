package event

// Events of upstreams, routing and claims.
var (
	UpstreamEjected   = define(600, "UpstreamEjected", Warning, "An upstream failed and gets no requests until a probe succeeds.")
	UpstreamOnTrial   = define(601, "UpstreamOnTrial", Info, "A probe of an ejected upstream succeeded; it gets one request at a time until one completes.")
	UpstreamCrashed   = define(602, "UpstreamCrashed", Warning, "An upstream crashed while it ran a request; the request is treated as a suspect from now on.")
	StreamResumed     = define(603, "StreamResumed", Info, "A connection stopped responding; its request continues over a new connection.")
	AdapterLoadFailed = define(604, "AdapterLoadFailed", Warning, "An adapter could not be loaded on a replica.")
	ClaimPostponed    = define(605, "ClaimPostponed", Warning, "The end of a claimed call cannot be written now; the write is queued for retry.")
	StreamMoved       = define(607, "StreamMoved", Info, "A stream is moved from an upstream that shuts down, to continue on another with its KV cache.")
	ClaimDropped      = define(606, "ClaimDropped", Error, "The write of the end of a claimed call was dropped; repeated calls are told that the call may have run.")
)
