// Package balance chooses the replica for a request.
//
// The choice weighs the requests in flight, known from this daemon at once and
// from others late, the latency and failures of each replica, the data centre,
// and which replica has probably kept the shared part of the prompt. It takes
// the time as an argument and does no I/O.
package balance
