// Package exchange holds a client request and its response as opaque values.
//
// Method, path, query, host, headers and body pass through unchanged. What the system needs to know about a request
// is decoded once into Metadata.
package exchange
