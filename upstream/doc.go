// Package upstream speaks to model engines: orders, states and requests.
//
// The types of this package are what the rest of the system knows of an
// engine. Client implements them over HTTP, with its own transport that never
// repeats a request by itself.
package upstream
