// Package scheduler sends orders to engines while its daemon holds the lease.
//
// A Scheduler sums the reports of all daemons, lets package residency plan,
// sends the orders with the fencing token and announces which models engines
// have loaded. Only one daemon sends orders at a time: orders are sent only
// within the term of the lease, and a new holder sends none until orders of the
// former holder can no longer arrive. Each order states how many orders the
// engine had accepted before, so the engine refuses an order that arrives after
// another one was accepted.
package scheduler
