// Package relay walks an opaque request to a replica and its answer back.
//
// A Relay finds the route, waits for a replica that can serve the request,
// sends it and passes the answer on as it arrives. Each request ends once:
// answered in full, or with an *outcome.Error whose word is true. A request
// that may run only once is sent again only if the replica proved that it did
// not run it. A resumable stream goes on at another replica after the last
// whole event.
package relay
