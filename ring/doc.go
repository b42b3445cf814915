// Package ring provides a bounded first-in first-out queue between goroutines.
//
// A ring has a fixed capacity. A producer can either fail at once if the ring
// is full or wait for free space until its context ends.
package ring
