// Package quarantine keeps requests that crash upstreams from crashing more of them.
//
// Every request that was in flight on a crashed upstream is a suspect by its
// fingerprint. A suspect of two crashes is refused until its time is over.
// The package does no I/O and takes the time as an argument.
package quarantine
