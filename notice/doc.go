// Package notice keeps what replicas report about themselves in their responses.
//
// A replica reports that it leaves, or that it requests a backoff. Both apply to the incarnation that reported them,
// whatever other sources state about it, and only in the daemon that received the response unless that announces them
// to others. The package does no I/O and takes the time as an argument.
package notice
