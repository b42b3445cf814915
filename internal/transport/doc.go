// Package transport implements an HTTP client that never resends a request of which any byte may have been sent.
//
// The transport of net/http resends a request when a kept-alive connection fails and the request appears
// replayable: GET and HEAD, or any method with an Idempotency-Key header. Client makes every request appear not
// replayable and counts the writes to each connection, so that an Error states reliably whether anything may have
// been sent. Client itself retries only a request of which no byte was written, on another connection.
package transport
