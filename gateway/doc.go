// Package gateway serves the HTTP interface for callers.
//
// It serves chat and text completions with and without streaming, the list of
// models, health checks, and calls of plain services. The response to every
// completion and call, and every error response, carries the identifier of the
// request. An error response also carries the error kind, the outcome and the
// retry advice of package outcome.
//
// Requests are routed by the router of go-zero's package rest. Its server is not
// used: its middleware for timeouts, load shedding, circuit breaking and
// connection limits refuses requests by its own rules with errors that are not
// error kinds of package outcome, and it registers its own shutdown with the
// process. The daemon manages the listener and the graceful shutdown.
package gateway
