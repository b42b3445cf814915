// Package ingress accepts the requests of clients over HTTP and responds to them.
//
// It reads the whole request, hands it to the relay and passes the response on byte for byte. A request without a
// response ends with the status of its error kind: 503 with Retry-After if it has not run. The context of a request
// ends when its client closes the connection.
package ingress
