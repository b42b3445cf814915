// Package network provides connections with fault injection for the stand-ins.
//
// Listener wraps another listener, or accepts in-memory connections for tests
// that use testing/synctest. StallConnections stalls every open connection for
// good while new ones work, as when a middlebox between the two ends loses its
// state. CloseConnections closes every open connection.
package network
