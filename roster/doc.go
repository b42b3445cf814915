// Package roster keeps the set of replicas to which a daemon may send requests.
//
// Its input is snapshots of and changes to the table in which replicas register themselves. A replica whose row is
// removed is dropped at once, except after an outage of the table: replicas whose rows expired during the outage
// write them again within a grace period if they are alive, and remain in use until it ends. The package does no I/O
// and takes the time as an argument.
package roster
