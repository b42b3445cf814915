// Package weights simulates the rate-limited weight store.
//
// The duration of a load is its size divided by the speed while at most the
// configured number of loads is in flight, and proportionally longer above it.
// Adapter transfers take a fixed time for each adapter, with a limit of their
// own. Server.Fetch blocks for the duration of one transfer.
package weights
