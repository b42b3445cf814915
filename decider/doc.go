// Package decider runs placement for one data centre under its lease and sends the orders to
// engines.
//
// One goroutine runs all steps. Each step takes the results of orders, the newest states of
// engines and the demand of routers, lets package placement decide, writes the intents in one
// transaction that depends on the lease, and only then sends the orders. Each order is sent by a
// goroutine of its own, which returns the result through a queue.
//
// During an outage of the table service the owner of the lease continues within the budget that
// it has recorded. Package intent explains why neither a paused owner nor a successor can load
// more than was decided or overcommit memory.
package decider
