// Package mesh lets daemons tell each other what they know.
//
// What is exchanged is a hint that may be old or missing: versions of
// configuration and replica table, requests in flight, and who holds the lease.
// Daemons find each other by the seeds of their settings and by the members
// that others name. The number of messages of one daemon does not grow with
// the number of daemons; the age of what it knows does.
package mesh
