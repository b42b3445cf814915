// Package upstream is the client side of the protocol with model engines:
// orders, states and generations.
//
// Other packages use engines through the interfaces and types of this package
// only. Client implements them over HTTP, with its own transport that never
// retries a request that may have been sent.
package upstream
