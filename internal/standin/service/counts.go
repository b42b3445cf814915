package service

// Counts holds the counters since New.
type Counts struct {
	// Executions counts the executions by request identifier.
	Executions map[string]int
	// Keys counts the executions by idempotency key.
	Keys map[string]int
	// Refused counts calls refused with the outcome "not run".
	Refused int
}
