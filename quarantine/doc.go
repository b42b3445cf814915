// Package quarantine stops requests that crash upstreams from crashing more of
// them.
//
// What was in flight on a crashed upstream is suspected: each request by its
// fingerprint, and each part of its prompt that other requests may share. A
// suspect with two crashes, or another configured number, is refused until it
// expires. Responses speak for the parts of their requests, and a part that
// explains crashes clears the others. Crashes that come at once are one occasion.
// A refused part may be tried by one request at a time. The package does no I/O
// and takes the time as an argument.
package quarantine
