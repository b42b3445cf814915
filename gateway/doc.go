// Package gateway is the callers' HTTP side of the daemon.
//
// It serves chat and completion with and without streaming, the list of
// models, health, and the calls of plain services. Every answer carries the
// request's identifier. Every request that is not answered in full carries the
// error kind, the outcome word and the retry advice of package outcome.
//
// The router of go-zero's rest finds the handlers. Its server is not used: its
// middlewares for timeouts, shedding, breaking and connection limits refuse by
// rules of their own outside the closed list of error kinds, and it registers
// its end with the process. Listener and graceful stop belong to the daemon.
package gateway
