// Package balance chooses the replica for a request.
//
// The choice weighs the requests in flight, known from this daemon at once and
// from others late, the wait for the first event that they lead to, prompts that
// are not read yet, the latency and failures of each replica, the data centre,
// and a preference of each daemon. It takes the time as an argument and does no I/O.
package balance
