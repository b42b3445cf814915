// Package exchange holds one request of a client and its answer as opaque values.
//
// Method, path, query, host, headers and body pass through unchanged. What the
// system needs to know of a request is decoded once into Traits.
package exchange
