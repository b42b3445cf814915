// Package daemon runs one daemon on an entry VM: it connects the other packages and starts their tasks.
//
// All daemons run the same tasks, one goroutine each: serve callers, operators
// and peers; follow the release notes and the VM list; poll the engines that
// are assigned to the daemon; exchange records with peers; report demand and
// request adapter transfers; dispatch requests; store claims; hold the lease
// of a data centre and decide which models are loaded there; learn the
// arrivals that the keep-warm policy needs. A task that fails is restarted
// after a delay and never ends the daemon.
//
// An orderly shutdown fails the health check, waits for the load balancer,
// closes the callers' listener, lets running requests finish, and then ends
// the tasks, which releases the lease.
package daemon
