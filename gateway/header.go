package gateway

// The headers of callers' requests and answers.
const (
	headerRequestID = "X-Request-Id"
	headerClass     = "X-Class"
	headerDeadline  = "X-Deadline"
	headerKey       = "Idempotency-Key"
	headerKind      = "X-Error-Kind"
	headerOutcome   = "X-Outcome"
	headerRetry     = "Retry-After"

	contentJSON   = "application/json"
	contentStream = "text/event-stream"
)
