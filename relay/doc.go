// Package relay forwards client requests to replicas and passes their responses back.
//
// A Relay finds the route of a request, waits for a replica that can serve it, sends it and passes the response on as
// it arrives. Each request ends exactly once: with a complete response, or with an *outcome.Error that states
// correctly whether the request may have run. A request that must run at most once is retried only if the replica
// proved that it did not run it. A resumable stream continues at another replica after the last complete event.
package relay
