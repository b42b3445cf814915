// Package event defines the numbered log events and writes them through klog.
//
// Each event has a number, a name, a severity and a meaning. The numbers are grouped by subject, with one or more files
// for each group:
//
//	1xx daemon    2xx platform, leases, notes    3xx requests (kinds of package outcome)
//	4xx placement, loads, permits    5xx peers    6xx upstreams, routing, claims
//	7xx keep-warm    8xx front daemon    9xx invariants
//
// An event line is "Name Number=N Key=Value ...", with keys in Pascal case.
// Lines contain identifiers, and never the content of requests or responses.
package event
