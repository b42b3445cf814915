// Package daemon wires the duties of one daemon on an entry VM.
//
// Every daemon is the same. Its duties, one goroutine each, are: serve callers,
// operators and peers; follow release notes; follow the VM list; observe the
// upstreams assigned to it; exchange with peers; report demand; hold the
// lease and decide; keep what keep-warm learnt. A duty that fails is started
// again after a pause and never ends the daemon.
//
// A planned stop fails the health check, waits for the balancer, closes the
// callers' listener, lets running requests finish, hands over the lease and
// then ends the duties.
package daemon
