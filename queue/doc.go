// Package queue holds the waiting requests of one model in fair order.
//
// It implements start-time fair queueing between tenants, with the estimated
// tokens of a request as its cost, and orders the requests of one tenant by
// priority and arrival. A queue is bounded: a full one displaces an entry of the
// tenant with the most entries to make room for a tenant with few. The package
// does no I/O and does not read the clock.
package queue
