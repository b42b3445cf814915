// Package soak runs whole daemons against stand-ins in one process, on the
// clock of testing/synctest, with faults drawn from a seed.
//
// Daemons, clients and stand-ins are the real code; only TCP is replaced by
// pipes in memory that can be cut. A caller judges every answer, and the
// stand-ins count every execution. make soak SEED=n HOURS=h runs one seed for
// h hours of program time.
package soak
