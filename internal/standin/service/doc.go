// Package service simulates a plain service whose calls must not be executed twice.
//
// Server executes every call that it receives, including repeated ones, and
// counts executions by request identifier and by idempotency key, so that a test
// can detect repeated executions.
package service
