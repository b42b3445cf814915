// Package status defines the status report of a daemon, which the operator
// address serves as JSON at /status and the command "bronzestall status" prints.
//
// Parts that come from other daemons, engines or the platform carry their age,
// so that an operator can tell how current they are. Durations are encoded in
// nanoseconds, memory is in bytes.
package status
