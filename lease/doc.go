// Package lease holds the fencing lease of the decider of one data centre.
//
// The lease is one row of the table service for each data centre. Its holder
// renews it; a successor takes it over after the version of the row has not
// changed for a whole term by the successor's own clock. The holder counts its
// term from the moment before it sent the renewal, less a margin for clocks
// that run at different speeds, so two daemons never hold a lease at once.
//
// A second row carries the fencing number and is written only when the holder
// changes. Its version is the condition of every transaction that a holder
// writes, so the table service refuses the writes of a former holder.
//
// Nothing of the safety of placement depends on time: see package intent.
package lease
