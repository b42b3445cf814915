// Package lease implements the lease, with fencing, that elects the decider of one data centre.
//
// The lease is one row of the table service for each data centre. Its holder renews it. A successor acquires it when
// the version of the row has not changed for one full term on the successor's own clock. The holder counts its term
// from the moment before it sent the renewal, less a margin for clocks that run at different speeds, so two daemons
// never hold a lease at the same time.
//
// A second row contains the fencing number and is written only when the holder changes. Every transaction of a holder
// is conditional on the version of that row, so the table service rejects the writes of a former holder.
//
// The safety of placement does not depend on time: see package intent.
package lease
