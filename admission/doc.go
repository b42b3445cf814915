// Package admission orders the requests of one daemon that wait for a replica with capacity.
//
// A Queue holds the waiting requests of one model. It orders them by priority, and within a priority by whether they returned, by how
// soon they must start to be served within their latency target, and by arrival; the requests of an account that uses more than its
// share of the queue are put back by its surplus. A Queue states which request may try next, and forecasts how long a request waits.
// Ceilings bound what is offered to replicas that rejected requests, and a Memory counts the tokens that requests need at replicas. The package
// takes the time as an argument and does no I/O.
package admission
