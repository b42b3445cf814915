// Package connection keeps HTTP/1.1 connections to upstreams and makes one exchange at a time on each.
//
// A Pool never repeats a request by itself and tells whether any byte of a
// failed one can have arrived. Connections are kept for one key, which names
// the incarnation behind an address, so a successor at the same address gets
// connections of its own. A connection that showed anything but one whole
// answer to its request is closed.
package connection
