// Package directory tells which replicas can serve a request now.
//
// It joins what replicas say of themselves with the placements that the holder
// of the lease announces, which are newer, and wakes requests that wait for a
// model when something changed.
package directory
