// Package frontsoak runs front daemons as processes of their own and breaks what is around them.
//
// A run starts daemons, a store, engines and plain services on the loopback
// interface, and sends requests while faults are injected from outside: signals
// to the daemons, proxies that delay, reset or silence connections, and a store
// and replicas that misbehave. What clients and replicas see is judged. A seed
// fixes the schedule of the faults. It ends only processes that it started.
package frontsoak
