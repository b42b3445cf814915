// Package front implements the daemon that serves the clients of the users' platform.
//
// A Daemon watches the operator's configuration and the replica table, relays client requests to replicas,
// shares its state with other daemons, and sends orders to engines while it holds the lease. Each background
// task runs in its own goroutine and ends with its context.
package front
