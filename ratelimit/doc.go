// Package ratelimit keeps the limits that replicas name in their responses: the requests per second that a replica
// accepts from all daemons together.
//
// A limit applies to the incarnation that named it, until a later response of that incarnation names another one or
// none. Daemons tell each other the limits that they know. The package does no I/O and takes the time as an argument.
package ratelimit
