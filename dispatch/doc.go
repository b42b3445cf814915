// Package dispatch runs a request from admission to response.
//
// A Dispatcher admits a request to the bounded queue of its model, reserves a
// slot of a replica in fair order, sends the request and relays the response to
// the sink. Each request ends exactly once: with a complete response, or with an
// *outcome.Error that reports correctly whether the request may have run. Only
// idempotent requests are retried, unless the upstream proved that it did not
// run the first attempt.
package dispatch
