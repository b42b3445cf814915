// Package frontsoak tests front daemons, run as separate processes, under injected faults.
//
// A run starts daemons, a store, engines and plain services on the loopback
// interface, and sends requests while it injects faults: signals to the
// daemons, proxies that delay, reset or stall connections, and a store and
// replicas that misbehave. A checker compares what clients and replicas observe
// with the guarantees of the daemons. A seed fixes the schedule of the faults.
// A run ends only processes that it started.
package frontsoak
