// Package service stands in for a plain service whose calls may not be repeated.
//
// Server executes every call that reaches it, also a call that it has seen
// before, and counts executions by request identifier and by idempotency key.
package service
