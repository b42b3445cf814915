// Package weights stands in for the rate-limited weight store.
//
// A transfer takes its bytes divided by the speed while at most the stated
// number are in flight, and proportionally longer beyond. Server.Fetch blocks
// for the time of one transfer.
package weights
