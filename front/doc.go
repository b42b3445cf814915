// Package front wires the daemon that serves the users' platform.
//
// A Daemon follows the operator's configuration and the table of replicas,
// takes clients' requests, tells other daemons what it knows, and sends orders
// to engines while it holds the lease. One goroutine runs each duty; all end
// with the context.
package front
