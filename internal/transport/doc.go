// Package transport makes HTTP exchanges that are never repeated by themselves.
//
// The transport of net/http resends a request when a kept-alive connection
// fails and the request looks replayable to it: GET and HEAD, or any method
// with an Idempotency-Key header. Client makes every request look final to
// it and counts the bytes written to connections, so that a failure can say
// for certain whether anything was sent. Only an exchange of which no byte
// was written is begun again, on another connection.
package transport
