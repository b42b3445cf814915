// Package connection keeps HTTP/1.1 connections to upstreams and makes one exchange at a time on each.
//
// A Pool never repeats a request by itself and reports whether any byte of a failed one can have arrived. Connections
// are shared only under one key, which names the incarnation behind an address, so that a successor at the same
// address gets connections of its own. A connection that carried anything but one complete response to its request is
// closed.
package connection
