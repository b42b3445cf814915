// Package admission orders the requests of one daemon that wait for a replica with capacity.
//
// A Queue holds the waiting requests of one model. It orders them by priority, and within a priority by whether they returned, by how
// soon they must start to earn their full credit, and by arrival; an account that uses more than its share of the queue has its
// requests put back by what it is ahead. It tells which request may try next, and forecasts how long a request waits. A Ceiling bounds
// what is offered to a replica that rejected a request, and a Memory counts the tokens that requests need at replicas. The package
// takes the time as an argument and does no I/O.
package admission
