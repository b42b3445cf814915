// Package network gives stand-ins connections that can be made to fail.
//
// Listener wraps another listener, or serves connections in memory for tests
// in testing/synctest. Silence makes every open connection silent for good
// while new ones work, as when something between the two ends lost track of
// them; Cut closes every open connection.
package network
