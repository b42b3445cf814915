// Package claim keeps keyed non-idempotent calls from running twice.
//
// A call is claimed by inserting a row, named by tenant and idempotency key,
// into the platform's table service before its first byte goes upstream. A
// daemon that finds an existing row does not send the call again: it returns
// the recorded response, or an error stating that the first attempt is running
// or may have run. If the response of the table service to a write is lost, the
// row is read back: its attempt identifier shows which attempt inserted it.
package claim
