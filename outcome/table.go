package outcome

import "net/http"

// statusCallerGone is the non-standard status logged when the caller has closed the connection.
const statusCallerGone = 499

// Entry describes the response to one Kind.
type Entry struct {
	// Name is the stable name of the kind on the wire and in logs.
	Name string
	// Status is the HTTP status code.
	Status int
	// Execution is what the response states about the execution of the request.
	Execution Execution
	// Advice is the retry advice.
	Advice Advice
	// Event is the number of the log event.
	Event int
	// Meaning is one sentence for the reference page.
	Meaning string
}

var table = [kindCount]Entry{
	Internal:            {"Internal", http.StatusInternalServerError, MayHaveRun, IfIdempotent, 300, "The daemon failed while handling the request."},
	InvalidBody:         {"InvalidBody", http.StatusBadRequest, NotRun, Never, 301, "The body cannot be parsed."},
	MissingField:        {"MissingField", http.StatusBadRequest, NotRun, Never, 302, "A required field or header is missing."},
	BodyTooLarge:        {"BodyTooLarge", http.StatusRequestEntityTooLarge, NotRun, Never, 303, "The body exceeds the configured limit."},
	UnknownPath:         {"UnknownPath", http.StatusNotFound, NotRun, Never, 304, "No handler exists for this path."},
	MethodNotAllowed:    {"MethodNotAllowed", http.StatusMethodNotAllowed, NotRun, Never, 305, "The path does not support this method."},
	Unauthenticated:     {"Unauthenticated", http.StatusUnauthorized, NotRun, Never, 306, "The request has no valid key."},
	Forbidden:           {"Forbidden", http.StatusForbidden, NotRun, Never, 307, "The key does not permit this request."},
	UnknownModel:        {"UnknownModel", http.StatusNotFound, NotRun, Never, 308, "The model or adapter is not in force."},
	UnknownService:      {"UnknownService", http.StatusNotFound, NotRun, Never, 309, "The service or call is not in force."},
	Withdrawn:           {"Withdrawn", http.StatusGone, NotRun, Never, 310, "A release note withdrew the model, adapter or service."},
	QueueFull:           {"QueueFull", http.StatusTooManyRequests, NotRun, Later, 311, "The queue of the model is full."},
	TenantLimit:         {"TenantLimit", http.StatusTooManyRequests, NotRun, Later, 312, "The tenant has used up its share."},
	DeadlineUnmeetable:  {"DeadlineUnmeetable", http.StatusServiceUnavailable, NotRun, Later, 313, "At measured rates the deadline cannot be met."},
	DeadlineInQueue:     {"DeadlineInQueue", http.StatusGatewayTimeout, NotRun, Later, 314, "The deadline passed before the request was sent to an upstream."},
	DeadlineRunning:     {"DeadlineRunning", http.StatusGatewayTimeout, MayHaveRun, IfIdempotent, 315, "The deadline passed after the request was sent to an upstream."},
	NoReplica:           {"NoReplica", http.StatusServiceUnavailable, NotRun, Later, 316, "No replica of the model can be loaded in time."},
	LoadFailed:          {"LoadFailed", http.StatusServiceUnavailable, NotRun, Later, 317, "The model failed to load."},
	NoDecider:           {"NoDecider", http.StatusServiceUnavailable, NotRun, Later, 318, "No daemon of the data centre can decide loads now."},
	ClaimUnavailable:    {"ClaimUnavailable", http.StatusServiceUnavailable, NotRun, SameKey, 319, "The call cannot be claimed because the platform is unavailable."},
	ClaimRunning:        {"ClaimRunning", http.StatusConflict, MayHaveRun, SameKey, 320, "The first attempt of the call is still running."},
	ClaimUnresolved:     {"ClaimUnresolved", http.StatusConflict, MayHaveRun, Never, 321, "The first attempt of the call ended without a known response."},
	ClaimMismatch:       {"ClaimMismatch", http.StatusUnprocessableEntity, NotRun, Never, 322, "The key was used before with another request."},
	RetriesSpent:        {"RetriesSpent", http.StatusServiceUnavailable, NotRun, Later, 323, "The upstream proved that the request did not run and the retry budget is exhausted."},
	Quarantined:         {"Quarantined", http.StatusUnprocessableEntity, NotRun, Later, 324, "Earlier attempts of the request crashed upstreams."},
	UpstreamRefused:     {"UpstreamRefused", http.StatusBadGateway, NotRun, Later, 325, "The upstream refused the request before running it."},
	UpstreamLost:        {"UpstreamLost", http.StatusBadGateway, MayHaveRun, IfIdempotent, 326, "The upstream failed before its response was complete."},
	AnswerInvalid:       {"AnswerInvalid", http.StatusBadGateway, MayHaveRun, IfIdempotent, 327, "The response of the upstream was truncated, malformed or for another request."},
	CallerGone:          {"CallerGone", statusCallerGone, MayHaveRun, IfIdempotent, 328, "The caller closed the connection."},
	Stopping:            {"Stopping", http.StatusServiceUnavailable, NotRun, Later, 329, "The daemon is shutting down."},
	NotReady:            {"NotReady", http.StatusServiceUnavailable, NotRun, Later, 330, "The daemon has not loaded the state in force yet."},
	NoteInvalid:         {"NoteInvalid", http.StatusUnprocessableEntity, NotRun, Never, 331, "The release note fails its checks."},
	NoteConflict:        {"NoteConflict", http.StatusConflict, NotRun, Never, 332, "Another release note was accepted since this one was written."},
	NoteUnclear:         {"NoteUnclear", http.StatusServiceUnavailable, MayHaveRun, SameKey, 333, "The platform did not confirm whether the release note was accepted."},
	OriginUnknown:       {"OriginUnknown", http.StatusServiceUnavailable, NotRun, Later, 335, "It is not known which release of the service began the stream; it can be begun anew."},
	PlatformUnavailable: {"PlatformUnavailable", http.StatusServiceUnavailable, NotRun, Later, 334, "The platform cannot be reached."},
}

// Kinds returns all kinds in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for kind := range kindCount {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Entry returns the row of the kind. It panics if the kind is not in the list.
func (kind Kind) Entry() Entry {
	return table[kind]
}

// String returns the stable name of the kind, and Unknown if it is not in the list.
func (kind Kind) String() string {
	if kind < 0 || kind >= kindCount {
		return "Unknown"
	}
	return table[kind].Name
}
