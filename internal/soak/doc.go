// Package soak tests whole daemons against stand-ins in one process, on the
// simulated clock of testing/synctest, with faults drawn from a seed.
//
// Daemons, clients and stand-ins are the real code; only TCP is replaced by an
// in-memory network whose traffic can be blocked, delayed or lost. Callers check
// every response, and the stand-ins count every execution. make soak SEED=n
// HOURS=h runs one seed for h hours of simulated time.
package soak
