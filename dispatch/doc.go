// Package dispatch walks a request through queue, route, upstream and back.
//
// A Dispatcher admits a request to the bounded queue of its model, grants it a
// replica with room in fair order, sends it and relays the answer to the sink.
// Each request ends exactly once: answered in full, or with an *outcome.Error
// whose word is true. Only idempotent requests are tried a second time, unless
// the upstream proved that it did not run the first attempt.
package dispatch
