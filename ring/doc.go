// Package ring provides a bounded first-in first-out ring that joins duties.
//
// A ring never grows. A producer either learns at once that the ring is full
// or waits for room until its context ends.
package ring
