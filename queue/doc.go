// Package queue holds the waiting requests of one model and orders them fairly.
//
// The order is start-time fair queueing between tenants by estimated tokens,
// and by priority and arrival within one tenant. A queue is bounded; a full
// one makes room for a tenant with few entries at the cost of the tenant with
// the most. The package does no I/O and takes the time as an argument.
package queue
