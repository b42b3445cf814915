package gateway

// The headers of requests and responses, and the content types of responses.
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
