// Package balance chooses the replica for a request.
//
// The choice weighs the requests in flight (those of this daemon are known at once, those of others with a delay),
// the resulting wait for the first event, prompt tokens that the replica has not read yet, the latency and failure
// rate of each replica, its data centre, and a preference that differs by daemon. The package takes the time as an
// argument and does no I/O.
package balance
