// Package gateway is the callers' HTTP side of the daemon.
//
// It serves chat and completion with and without streaming, the list of
// models, health, and the calls of plain services. Every answer carries the
// request's identifier. Every request that is not answered in full carries the
// error kind, the outcome word and the retry advice of package outcome.
//
// go-zero's rest routes the requests. Its middlewares for timeouts, shedding,
// breaking and connection limits are off, because they refuse by rules of
// their own outside the closed list of error kinds. The listener and the
// graceful stop belong to the daemon.
package gateway
