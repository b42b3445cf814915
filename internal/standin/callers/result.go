package callers

// result is the result of one attempt, or of a request after its last attempt.
type result string

// The possible results.
const (
	// answered is a complete response that matches the request.
	answered result = "Answered"
	// wrong is a complete response that does not match the request.
	wrong result = "Wrong"
	// notRun is a refusal with the outcome "not run".
	notRun result = "NotRun"
	// mayHaveRun is a refusal with the outcome "may have run".
	mayHaveRun result = "MayHaveRun"
	// lost is a missing or truncated response.
	lost result = "Lost"
)

// attempt is the result of one attempt with its details.
type attempt struct {
	result result
	// kind is the error kind of a refusal.
	kind string
	// final reports whether no further attempt should be made.
	final bool
}
