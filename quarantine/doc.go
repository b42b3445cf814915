// Package quarantine stops requests that crash upstreams from crashing more of
// them.
//
// Every request that was in flight on a crashed upstream is a suspect, identified
// by its fingerprint. A suspect with two crashes, or another configured number, is
// refused until it expires. The package does no I/O and takes the time as an
// argument.
package quarantine
