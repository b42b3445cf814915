// Package intent is the write-ahead log of the orders to the engines. A row, the
// intent, is written to the table service before its order is sent. The package
// also computes the memory and the replicas that the recorded intents account for.
//
// A row of verb Load represents one decided replica, from the decision until the
// replica is gone and its order can no longer take effect. The orders that
// can still reach an engine are therefore exactly those of the rows and of the
// open budgets. A successor of the lease holder reads both after its fencing
// number is in the table service, counts each row as a decided replica, charges
// its memory, and removes the row only if one of these is proved:
//
//   - the order was answered, or its sender can no longer send it, and a state of
//     the engine taken after that does not show the replica;
//   - the engine checks boots and reports another one than the order was decided for;
//   - the engine checks boots and fencing numbers and reports a higher number.
//
// A sender can no longer send if this process is the sender and no attempt is
// in flight, or if its process has provably ended and the longest time that an
// order may spend in the network has passed since.
//
// A Budget is memory on upstreams that a lease holder may use while the table
// service is unavailable. It determines for each model the one upstream on which
// the model may be loaded, so a successor knows which replicas may have been
// added. On engines that reject orders with older fencing numbers, the holder may
// also use the memory of its own rows for other replicas once those of the rows
// are gone. A successor charges both until the engine rejects the older orders,
// and does not send the orders of those rows.
package intent
