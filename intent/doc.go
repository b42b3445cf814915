// Package intent holds the rows that are written before any order to an engine,
// and the sums of memory and replicas that follow from them.
//
// A row of verb Load stands for one decided replica from the decision until the
// replica is gone and its order can take no effect any more. The orders that
// can still reach an engine are therefore exactly those of the rows and of the
// open budgets. A successor reads both after its fencing number is in the table
// service, counts each row as a decided replica, charges its memory, and drops
// it only on proof:
//
//   - the order was answered, or its sender can send it no more, and a state of
//     the engine taken after that does not show the replica;
//   - the engine checks boots and shows another one than the order was decided for;
//   - the engine checks boots and fencing numbers and shows a higher number.
//
// A sender can send no more if this process is the sender and no attempt is
// open, or if its process is provably gone and the time that bytes may stay on
// their way has passed.
//
// A Budget is memory on upstreams that a holder may decide on while the table
// service is away. It names for each model the one upstream where that model
// may be loaded, so a successor knows which replicas may have been added. On
// engines that close older orders, the holder may also use the memory of its
// own rows for other replicas once theirs are gone; a successor charges both
// until the engine has closed them, and does not send their orders.
package intent
