// Package scheduler sends orders to engines while its daemon holds the lease.
//
// A Scheduler joins the reports of all daemons into one demand, lets package
// residency plan, sends the orders with the fencing token and announces what
// engines hold. Only one daemon sends orders at a time: an order is sent only
// within the term of the lease, and a new holder sends none until orders of
// the former one can no longer arrive. Each order names the number of orders
// that the engine accepted before, so an order that arrives late is refused
// once another one was accepted.
package scheduler
