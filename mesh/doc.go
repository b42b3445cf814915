// Package mesh implements the gossip between the daemons of a deployment and the calls between them.
//
// Daemons exchange greetings, which carry the state of the sender and of some other daemons: versions of the
// configuration and the replica table, requests in flight, and the lease holder. This state is only a hint
// and may be old or missing. Daemons discover each other through the seeds in their settings and through
// greetings. The number of messages that a daemon sends does not grow with the number of daemons, but the age
// of what it knows does.
package mesh
