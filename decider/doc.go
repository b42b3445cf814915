// Package decider runs placement for one data centre under its lease and sends
// the orders to engines.
//
// One goroutine runs all steps. Each step takes the answers to orders, the
// newest states of engines and the demand of routers, lets package placement
// decide, writes the intents in one transaction that depends on the lease, and
// only then sends the orders. Orders are sent by short goroutines of their own
// that hand their answers back through a ring.
//
// While the table service is away the owner of the lease goes on within the
// budget that it has recorded. Package intent tells why neither a paused owner
// nor a successor can load more than was decided or overcommit memory.
package decider
