package responsehead

// The range of the status codes of final responses (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether the status code is that of a final response.
func IsFinalStatus(code int) bool {
	return minFinalStatus <= code && code <= maxFinalStatus
}
