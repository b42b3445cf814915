// Package boundedqueue provides a bounded first-in first-out queue between goroutines.
//
// A queue has a fixed capacity. A producer can either fail at once if the queue
// is full or wait for free space until its context ends.
package boundedqueue
