package service

// Counts are the calls since the start.
type Counts struct {
	// Executions counts the executions by request identifier.
	Executions map[string]int
	// Keys counts the executions by idempotency key.
	Keys map[string]int
	// Refused counts calls that were refused with proof.
	Refused int
}
