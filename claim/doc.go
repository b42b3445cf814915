// Package claim keeps keyed non-idempotent calls from running twice.
//
// A call is claimed by inserting a row, named by tenant and key, into the
// platform's table service before its first byte goes upstream. Whoever finds
// the row never sends the call again: it gets the recorded answer, or learns
// that the first sending runs or may have run. An answer of the table service
// that was lost is settled by reading the row back: the identifier of the
// attempt tells whose row it is.
package claim
